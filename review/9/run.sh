#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
rm -f "$here/record.txt"
if [ ! -f "$root/target/wingspread.jar" ] || [ ! -f "$root/target/review-2/Trial9.class" ] \
        || ! command -v java >/dev/null; then
    echo "RESULT: could not run: the program, the classes of review/build-2.sh or java is missing" > "$here/record.txt"
    exit 2
fi
exec java -XX:+UseSerialGC -Xmx128m -cp "$root/target/review-2" Trial9 "$root" "$here"
