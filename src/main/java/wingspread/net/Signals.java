package wingspread.net;

import java.lang.reflect.Proxy;
import java.util.HashMap;
import java.util.Map;

/** Hears the signals of POSIX, through the one class of the platform that does, which javac warns of. */
public final class Signals {
    private static final Map<String, Signals> HEARD = new HashMap<>();

    private Runnable task;
    private boolean came;

    private Signals() { }

    /**
     * Hears signals from now on; one that comes before its task is given is kept for it. Guards the start: the default
     * of SIGHUP, which moves the directory, is to end the program.
     *
     * @param names without SIG, such as {@code TERM}
     * @throws ReflectiveOperationException where this platform has no such signal
     */
    public static void keep(String... names) throws ReflectiveOperationException {
        for (String name : names) {
            heard(name);
        }
    }

    /** Runs a task, on a thread of its own, whenever a signal comes; at once where it has come before. */
    public static void on(String name, Runnable task) throws ReflectiveOperationException {
        Signals signal = heard(name);
        synchronized (signal) {
            signal.task = task;
            if (signal.came) {
                task.run();
            }
        }
    }

    private synchronized void come() {
        came = true;
        if (task != null) {
            task.run();
        }
    }

    private static synchronized Signals heard(String name) throws ReflectiveOperationException {
        Signals known = HEARD.get(name);
        if (known != null) {
            return known;
        }
        Signals heard = new Signals();
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object proxy = Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler},
                (self, method, args) -> switch (method.getName()) {
                    case "handle" -> {
                        heard.come();
                        yield null;
                    }
                    case "hashCode" -> System.identityHashCode(self);
                    case "equals" -> self == args[0];
                    default -> "handler of SIG" + name;
                });
        signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class).newInstance(name),
                proxy);
        HEARD.put(name, heard);
        return heard;
    }
}
