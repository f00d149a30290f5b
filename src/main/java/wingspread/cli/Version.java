package wingspread.cli;

import picocli.CommandLine.IVersionProvider;

/** Provides the program's version from the manifest of its jar. */
final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
        return new String[] {"wingspread " + program()};
    }

    /** Returns the version, or a placeholder if the program does not run from a jar. */
    static String program() {
        String version = Version.class.getPackage().getImplementationVersion();
        return version == null ? "(not packaged)" : version;
    }
}
