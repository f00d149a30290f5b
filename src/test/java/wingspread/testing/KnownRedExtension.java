package wingspread.testing;

import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.AssertionFailedError;
import org.opentest4j.TestAbortedException;

/**
 * Lets the JUnit tests that {@code KNOWN-RED.txt} lists fail without failing the build, and fails the build when one of
 * them passes. Registered for all tests by the service file beside it.
 */
public final class KnownRedExtension implements TestExecutionExceptionHandler, AfterTestExecutionCallback {
    private final KnownRed list;

    /** With the project's list. */
    public KnownRedExtension() {
        this(KnownRed.ofProject());
    }

    KnownRedExtension(KnownRed list) {
        this.list = list;
    }

    private KnownRed.Entry entry(ExtensionContext context) {
        return list.of(context.getRequiredTestClass().getName(), context.getRequiredTestMethod().getName());
    }

    @Override
    public void handleTestExecutionException(ExtensionContext context, Throwable failure) throws Throwable {
        KnownRed.Entry entry = entry(context);
        if (entry == null) {
            throw failure;
        }
        throw new TestAbortedException(KnownRed.failed(entry, failure));
    }

    @Override
    public void afterTestExecution(ExtensionContext context) {
        KnownRed.Entry entry = entry(context);
        if (entry != null && context.getExecutionException().isEmpty()) {
            throw new AssertionFailedError(KnownRed.passed(entry));
        }
    }
}
