package wingspread.net;

import java.lang.reflect.Proxy;
import java.util.HashMap;
import java.util.Map;

/**
 * Handles POSIX signals. Uses the JDK's {@code sun.misc.Signal}, the only class for this, through reflection because
 * javac warns of its direct use.
 */
public final class Signals {
    private static final Map<String, Signals> INSTALLED = new HashMap<>();

    private Runnable task;
    private boolean received;

    private Signals() { }

    /**
     * Installs handlers for signals. A signal that arrives before {@link #on} registers its task is remembered, and the
     * task runs as soon as it is registered. Call this first at start-up: the default action of SIGHUP, which requests
     * a change of the directory, would terminate the process.
     *
     * @param names signal names without SIG, such as {@code TERM}
     * @throws ReflectiveOperationException if the platform does not support one of the signals
     */
    public static void installHandlers(String... names) throws ReflectiveOperationException {
        for (String name : names) {
            install(name);
        }
    }

    /**
     * Registers the task that runs on a separate thread whenever the signal arrives. If the signal has arrived before,
     * the task also runs immediately on the calling thread.
     */
    public static void on(String name, Runnable task) throws ReflectiveOperationException {
        Signals signal = install(name);
        synchronized (signal) {
            signal.task = task;
            if (signal.received) {
                task.run();
            }
        }
    }

    private synchronized void onSignal() {
        received = true;
        if (task != null) {
            task.run();
        }
    }

    private static synchronized Signals install(String name) throws ReflectiveOperationException {
        Signals existing = INSTALLED.get(name);
        if (existing != null) {
            return existing;
        }
        Signals installed = new Signals();
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object proxy = Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler},
                (proxyInstance, method, args) -> switch (method.getName()) {
                    case "handle" -> {
                        installed.onSignal();
                        yield null;
                    }
                    case "hashCode" -> System.identityHashCode(proxyInstance);
                    case "equals" -> proxyInstance == args[0];
                    default -> "handler of SIG" + name;
                });
        signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class).newInstance(name),
                proxy);
        INSTALLED.put(name, installed);
        return installed;
    }
}
