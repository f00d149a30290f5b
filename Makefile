# Build, test, lint and run. `make run` wants LB_NAME, LB_LISTEN and LB_CONFIG in the environment.
.PHONY: build test lint run clean

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

# javac's warnings are errors (pom.xml); then Checkstyle.
lint:
	mvn -B -q compile test-compile checkstyle:check@lint

run: build
	sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

clean:
	mvn -q clean
