package wingspread.testing;

import net.jqwik.api.lifecycle.AroundPropertyHook;
import net.jqwik.api.lifecycle.PropagationMode;
import net.jqwik.api.lifecycle.PropertyExecutionResult;
import net.jqwik.api.lifecycle.PropertyExecutor;
import net.jqwik.api.lifecycle.PropertyLifecycleContext;
import org.opentest4j.TestAbortedException;

/** The counterpart of {@link KnownRedExtension} for jqwik properties. */
public final class KnownRedHook implements AroundPropertyHook {
    private final KnownRed list = KnownRed.loadProjectList();

    @Override
    public PropagationMode propagateTo() {
        return PropagationMode.ALL_DESCENDANTS;
    }

    @Override
    public PropertyExecutionResult aroundProperty(PropertyLifecycleContext context, PropertyExecutor property) {
        KnownRed.Entry entry = list.find(context.containerClass().getName(), context.targetMethod().getName());
        PropertyExecutionResult result = property.execute();
        return entry == null ? result : mapResult(entry, result);
    }

    /** Converts the result of a listed property: a failure is tolerated, a success fails the build. */
    static PropertyExecutionResult mapResult(KnownRed.Entry entry, PropertyExecutionResult result) {
        if (result.status() == PropertyExecutionResult.Status.SUCCESSFUL) {
            if (entry.intermittent()) {
                KnownRed.reportPass(entry);
                return result;
            }
            return result.mapToFailed(KnownRed.describeUnexpectedPass(entry));
        }
        Throwable failure = result.throwable().orElseGet(() -> new AssertionError("falsified"));
        if (!entry.covers(failure)) {
            return result;
        }
        return result.mapToAborted(new TestAbortedException(KnownRed.reportFailure(entry, failure)));
    }
}
