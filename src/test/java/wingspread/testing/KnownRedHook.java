package wingspread.testing;

import net.jqwik.api.lifecycle.AroundPropertyHook;
import net.jqwik.api.lifecycle.PropagationMode;
import net.jqwik.api.lifecycle.PropertyExecutionResult;
import net.jqwik.api.lifecycle.PropertyExecutor;
import net.jqwik.api.lifecycle.PropertyLifecycleContext;
import org.opentest4j.TestAbortedException;

/** The same as {@link KnownRedExtension} for the properties of jqwik. */
public final class KnownRedHook implements AroundPropertyHook {
    private final KnownRed list = KnownRed.ofProject();

    @Override
    public PropagationMode propagateTo() {
        return PropagationMode.ALL_DESCENDANTS;
    }

    @Override
    public PropertyExecutionResult aroundProperty(PropertyLifecycleContext context, PropertyExecutor property) {
        KnownRed.Entry entry = list.of(context.containerClass().getName(), context.targetMethod().getName());
        PropertyExecutionResult result = property.execute();
        return entry == null ? result : judged(entry, result);
    }

    /** What becomes of a listed property. */
    static PropertyExecutionResult judged(KnownRed.Entry entry, PropertyExecutionResult result) {
        if (result.status() == PropertyExecutionResult.Status.SUCCESSFUL) {
            return result.mapToFailed(KnownRed.passed(entry));
        }
        Throwable failure = result.throwable().orElseGet(() -> new AssertionError("falsified"));
        return result.mapToAborted(new TestAbortedException(KnownRed.failed(entry, failure)));
    }
}
