package wingspread.cli;

import java.io.PrintWriter;
import java.util.Locale;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import wingspread.control.ControlParameters;
import wingspread.control.NamedParameters.Parameter;
import wingspread.control.NamedParameters.Unit;
import wingspread.lab.scenario.Scenario;

/** Lists the built-in scenarios, the text of one of them, or the control parameters. */
@Command(name = "list", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Lists the built-in scenarios, the text of one, or the control parameters.")
final class LabList implements Runnable {
    private static final double MICROS_PER_MILLI = 1_000;

    @Option(names = "--scenario", paramLabel = "NAME",
            description = "print a built-in scenario; 'usual' contains every setting")
    private String scenario;

    @Option(names = "--figures", description = "print the control parameters with their default values and bounds")
    private boolean listParameters;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        PrintWriter out = spec.commandLine().getOut();
        if (scenario != null) {
            if (!Scenario.SHIPPED.contains(scenario)) {
                throw new CommandLine.ParameterException(spec.commandLine(),
                        scenario + ": unknown scenario; expected one of (" + String.join(", ", Scenario.SHIPPED) + ")");
            }
            out.print(Scenario.shippedText(scenario));
        } else if (listParameters) {
            out.printf(Locale.ROOT, "%-24s %12s %12s %12s%n", "figure", "usual", "least", "most");
            ControlParameters.DEFAULTS.all().forEach(parameter ->
                    out.printf(Locale.ROOT, "%-24s %12s %12s %12s%n", parameter.name(),
                            value(parameter, parameter.defaultValue()), value(parameter, parameter.min()),
                            value(parameter, parameter.max())));
        } else {
            Scenario.SHIPPED.forEach(name -> out.printf("%-18s %s%n", name, Scenario.named(name).about()));
        }
        out.flush();
    }

    /** Formats a value as it is written in a setting: a time in milliseconds with its unit, others without one. */
    private static String value(Parameter parameter, double value) {
        return parameter.unit() == Unit.MICROSECONDS
                ? String.format(Locale.ROOT, "%sms", number(value / MICROS_PER_MILLI))
                : number(value);
    }

    private static String number(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
