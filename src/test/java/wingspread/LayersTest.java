package wingspread;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** Packages point one way: forwarders and the lab on the core, the core on the module; decisions know no wire. */
class LayersTest {
    private static final JavaClasses PROGRAM = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("wingspread");

    private static void holds(ArchRule rule) {
        rule.check(PROGRAM);
    }

    @Test
    void moduleStandsOnNothing() {
        holds(classes().that().resideInAPackage("wingspread.control..")
                .should().onlyDependOnClassesThat().resideInAnyPackage("wingspread.control..", "java.lang..",
                        "java.util.."));
    }

    @Test
    void coreStandsOnTheModuleAlone() {
        holds(classes().that().resideInAPackage("wingspread.core..")
                .should().onlyDependOnClassesThat().resideInAnyPackage("wingspread.core..", "wingspread.control..",
                        "wingspread.turn..", "wingspread.metrics..", "wingspread.storm..",
                        "org.slf4j..", "java.lang..", "java.util.."));
    }

    @Test
    void stormsAreDecidedWithoutInputOrOutput() {
        holds(classes().that().resideInAPackage("wingspread.storm..")
                .should().onlyDependOnClassesThat().resideInAnyPackage("wingspread.storm..", "java.lang..",
                        "java.util.."));
    }

    @Test
    void socketsAreForwardersBusiness() {
        holds(noClasses().that().resideInAnyPackage("wingspread.control..", "wingspread.core..", "wingspread.turn..",
                "wingspread.metrics..", "wingspread.sip..", "wingspread.lab..", "wingspread.wirehost..")
                .should().dependOnClassesThat().resideInAnyPackage("io.netty.channel..", "io.netty.handler..",
                        "io.netty.bootstrap..", "java.net..", "java.nio.channels.."));
    }

    @Test
    void nothingStandsOnFrontsButTheProgram() {
        holds(noClasses().that().resideOutsideOfPackages("wingspread", "wingspread.front..")
                .should().dependOnClassesThat().resideInAPackage("wingspread.front.."));
    }

    @Test
    void nothingInServiceKnowsTheLab() {
        holds(noClasses().that().resideOutsideOfPackages("wingspread", "wingspread.cli..", "wingspread.lab..",
                "wingspread.testbed..")
                .should().dependOnClassesThat().resideInAnyPackage("wingspread.lab..", "wingspread.cli..",
                        "wingspread.testbed..", "picocli..",
                        "org.HdrHistogram..", "org.apache.commons.."));
    }

    /** What reads files of settings or packs recordings is opened only where a file switches something on. */
    @Test
    void jacksonIsKeptOffTheCallsOfServe() {
        holds(noClasses().that().resideOutsideOfPackages("wingspread.cli..", "wingspread.lab..", "wingspread.toml..",
                "wingspread.record..", "wingspread.testbed..")
                .and().doNotHaveSimpleName("SipConfig").and().doNotHaveSimpleName("StormConfig")
                .should().dependOnClassesThat().resideInAnyPackage("com.fasterxml.jackson..", "com.networknt.."));
    }
}
