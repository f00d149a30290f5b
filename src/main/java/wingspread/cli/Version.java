package wingspread.cli;

import picocli.CommandLine.IVersionProvider;

/** The version that the jar's manifest names. */
final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String version = Version.class.getPackage().getImplementationVersion();
        return new String[] {"wingspread " + (version == null ? "(not packaged)" : version)};
    }
}
