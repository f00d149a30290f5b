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

/** Says what can be named: the shipped scenarios, what one of them sets, the module's figures. */
@Command(name = "list", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Lists the shipped scenarios, the text of one, or the module's figures.")
final class LabList implements Runnable {
    private static final double MILLI = 1_000;

    @Option(names = "--scenario", paramLabel = "NAME",
            description = "prints a shipped scenario; 'usual' names every setting that there is")
    private String scenario;

    @Option(names = "--figures", description = "prints the figures of the module with their bounds")
    private boolean figures;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        PrintWriter out = spec.commandLine().getOut();
        if (scenario != null) {
            if (!Scenario.SHIPPED.contains(scenario)) {
                throw new CommandLine.ParameterException(spec.commandLine(),
                        scenario + ": one of " + String.join(", ", Scenario.SHIPPED) + " was expected");
            }
            out.print(Scenario.shippedText(scenario));
        } else if (figures) {
            out.printf(Locale.ROOT, "%-24s %12s %12s %12s%n", "figure", "usual", "least", "most");
            ControlParameters.DEFAULTS.all().forEach(
                    figure -> out.printf(Locale.ROOT, "%-24s %12s %12s %12s%n", figure.name(),
                    value(figure, figure.defaultValue()), value(figure, figure.min()), value(figure, figure.max())));
        } else {
            Scenario.SHIPPED.forEach(name -> out.printf("%-18s %s%n", name, Scenario.named(name).about()));
        }
        out.flush();
    }

    /** As it is written in a setting: times with their unit. */
    private static String value(Parameter figure, double value) {
        return figure.unit() == Unit.MICROSECONDS ? String.format(Locale.ROOT, "%sms", number(value / MILLI))
                : number(value);
    }

    private static String number(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
