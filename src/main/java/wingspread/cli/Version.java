package wingspread.cli;

import picocli.CommandLine.IVersionProvider;

/** The version that the jar's manifest names. */
final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
        return new String[] {"wingspread " + program()};
    }

    static String program() {
        String version = Version.class.getPackage().getImplementationVersion();
        return version == null ? "(not packaged)" : version;
    }
}
