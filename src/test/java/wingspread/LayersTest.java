package wingspread;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/**
 * The dependencies between packages: the forwarders and the lab depend on the core, and the core on the call control.
 * Code that takes decisions does not depend on sockets or protocols.
 */
class LayersTest {
    private static final JavaClasses MAIN_CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("wingspread");

    private static void check(ArchRule rule) {
        rule.check(MAIN_CLASSES);
    }

    @Test
    void controlDependsOnNothing() {
        check(classes().that().resideInAPackage("wingspread.control..")
                .should().onlyDependOnClassesThat().resideInAnyPackage("wingspread.control..", "java.lang..",
                        "java.util.."));
    }

    @Test
    void coreDependsOnlyOnControlAndUtilities() {
        check(classes().that().resideInAPackage("wingspread.core..")
                .should().onlyDependOnClassesThat().resideInAnyPackage("wingspread.core..", "wingspread.control..",
                        "wingspread.turn..", "wingspread.metrics..", "wingspread.storm..",
                        "org.slf4j..", "java.lang..", "java.util.."));
    }

    @Test
    void stormUsesNoInputOrOutput() {
        check(classes().that().resideInAPackage("wingspread.storm..")
                .should().onlyDependOnClassesThat().resideInAnyPackage("wingspread.storm..", "java.lang..",
                        "java.util.."));
    }

    @Test
    void onlyForwardersUseSockets() {
        check(noClasses().that().resideInAnyPackage("wingspread.control..", "wingspread.core..", "wingspread.turn..",
                "wingspread.metrics..", "wingspread.sip..", "wingspread.lab..", "wingspread.wirehost..")
                .should().dependOnClassesThat().resideInAnyPackage("io.netty.channel..", "io.netty.handler..",
                        "io.netty.bootstrap..", "java.net..", "java.nio.channels.."));
    }

    @Test
    void onlyTheProgramDependsOnFrontEnds() {
        check(noClasses().that().resideOutsideOfPackages("wingspread", "wingspread.front..")
                .should().dependOnClassesThat().resideInAPackage("wingspread.front.."));
    }

    @Test
    void productionCodeDoesNotDependOnTheLab() {
        check(noClasses().that().resideOutsideOfPackages("wingspread", "wingspread.cli..", "wingspread.lab..",
                "wingspread.testbed..")
                .should().dependOnClassesThat().resideInAnyPackage("wingspread.lab..", "wingspread.cli..",
                        "wingspread.testbed..", "picocli..",
                        "org.HdrHistogram..", "org.apache.commons.."));
    }

    /**
     * The libraries for settings files and recordings are loaded only if a file enables an optional feature, which
     * keeps the start of {@code serve} short.
     */
    @Test
    void jacksonIsUsedOnlyForOptionalFeatures() {
        check(noClasses().that().resideOutsideOfPackages("wingspread.cli..", "wingspread.lab..", "wingspread.toml..",
                "wingspread.record..", "wingspread.testbed..")
                .and().doNotHaveSimpleName("SipConfig").and().doNotHaveSimpleName("StormConfig")
                .should().dependOnClassesThat().resideInAnyPackage("com.fasterxml.jackson..", "com.networknt.."));
    }
}
