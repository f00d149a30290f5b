package wingspread.testing;

import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.AssertionFailedError;
import org.opentest4j.TestAbortedException;

/**
 * A JUnit extension that lets the tests listed in {@code KNOWN-RED.txt} fail without failing the build, and fails the
 * build if one of them passes that is not listed as intermittent. Registered for all tests by a file in
 * {@code META-INF/services}.
 */
public final class KnownRedExtension implements TestExecutionExceptionHandler, AfterTestExecutionCallback {
    private final KnownRed list;

    /** Creates an extension with the list of this project. */
    public KnownRedExtension() {
        this(KnownRed.loadProjectList());
    }

    KnownRedExtension(KnownRed list) {
        this.list = list;
    }

    private KnownRed.Entry entry(ExtensionContext context) {
        return list.find(context.getRequiredTestClass().getName(), context.getRequiredTestMethod().getName());
    }

    @Override
    public void handleTestExecutionException(ExtensionContext context, Throwable failure) throws Throwable {
        KnownRed.Entry entry = entry(context);
        if (entry == null || !entry.covers(failure)) {
            throw failure;
        }
        throw new TestAbortedException(KnownRed.reportFailure(entry, failure));
    }

    @Override
    public void afterTestExecution(ExtensionContext context) {
        KnownRed.Entry entry = entry(context);
        if (entry == null || context.getExecutionException().isPresent()) {
            return;
        }
        if (entry.intermittent()) {
            KnownRed.reportPass(entry);
        } else {
            throw new AssertionFailedError(KnownRed.describeUnexpectedPass(entry));
        }
    }
}
