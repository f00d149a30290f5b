package wingspread.net;

import java.lang.reflect.Proxy;

/** Hears the signals of POSIX, through the one class of the platform that does, which javac warns of. */
public final class Signals {
    private Signals() { }

    /**
     * Runs a task, on a thread of its own, whenever a signal comes.
     *
     * @param name without SIG, such as {@code TERM}
     * @throws ReflectiveOperationException where this platform has no such signal
     */
    public static void on(String name, Runnable task) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object proxy = Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler},
                (self, method, args) -> switch (method.getName()) {
                    case "handle" -> {
                        task.run();
                        yield null;
                    }
                    case "hashCode" -> System.identityHashCode(self);
                    case "equals" -> self == args[0];
                    default -> "handler of SIG" + name;
                });
        signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class).newInstance(name),
                proxy);
    }
}
