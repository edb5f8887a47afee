/*
 * The soak's command line.
 */
package org.vanillalink.soak

import org.vanillalink.soak.check.Checker
import org.vanillalink.soak.record.FaultKind
import org.vanillalink.soak.report.SoakReport
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable

/** Runs daemons as processes among faults and checks what their callers see. */
@Command(
    name = "soak",
    description = ["Runs daemons as processes among faults and checks what their callers see."],
    mixinStandardHelpOptions = true,
)
class SoakCommand : Callable<Int> {
    @Option(names = ["--seed"], description = ["What all faults and requests derive from. Default: \${DEFAULT-VALUE}"])
    private var seed: Long = 1

    @Option(names = ["--seconds"], description = ["How long faults are played. Default: \${DEFAULT-VALUE}"])
    private var seconds: Int = 60

    @Option(names = ["--daemons"], description = ["Daemons in each failure domain. Default: \${DEFAULT-VALUE}"])
    private var daemons: Int = 2

    @Option(names = ["--large"], description = ["As many daemons and callers as one machine of eight cores bears."])
    private var isLarge: Boolean = false

    @Option(names = ["--daemon-jar"], description = ["The daemons' executable jar. Default: \${DEFAULT-VALUE}"])
    private var daemonJar: Path = Path.of("daemon/target/daemon-0.1.0-SNAPSHOT-executable.jar")

    @Option(
        names = ["--work"],
        description = ["A folder for settings and logs, kept; without it logs are kept if anything is found."],
    )
    private var work: Path? = null

    @Option(names = ["--profile"], description = ["streams, plain or scarce. Default: \${DEFAULT-VALUE}"])
    private var profile: String = Profile.STREAMS.name

    @Option(
        names = ["--only"],
        split = ",",
        description = ["The kinds of faults, in place of all: \${COMPLETION-CANDIDATES}"],
    )
    private var only: List<FaultKind>? = null

    @Option(
        names = ["--no-faults"],
        description = ["Plays nothing, to see that callers and targets themselves are sound."],
    )
    private var isWithoutFaults: Boolean = false

    override fun call(): Int {
        val site = Profile.ALL[profile]
        if (site == null || !Files.exists(daemonJar)) {
            System.err.println("soak: no profile $profile, or no jar $daemonJar")
            return EXIT_USAGE
        }
        val folder = work ?: Files.createTempDirectory("soak")
        Files.createDirectories(folder)
        val kinds = if (isWithoutFaults) emptySet() else (only ?: FaultKind.entries).toSet()
        val settings =
            SoakSettings(
                seed,
                seconds,
                if (isLarge) LARGE_DAEMONS else daemons,
                daemonJar,
                folder,
                if (isLarge) site.copy(callers = site.callers * 2) else site,
                kinds,
            )
        println(
            "soak seed=$seed seconds=$seconds daemons=${settings.daemonsPerDomain} profile=$profile jar=$daemonJar " +
                "kinds=${kinds.size}",
        )
        val recording = SoakRun(settings).run()
        if (recording == null) {
            System.err.println("soak: the daemons did not become ready; logs are in $folder")
            return EXIT_USAGE
        }
        val findings = Checker.check(recording)
        val report = SoakReport(recording, findings)
        val lines = report.lines()
        lines.forEach(::println)
        Files.write(folder.resolve("report.txt"), lines)
        Files.write(folder.resolve("unfinished-calls.txt"), Checker.describeUnfinished(recording))
        if (work == null && findings.isEmpty()) folder.toFile().deleteRecursively() else println("logs=$folder")
        return when {
            findings.isNotEmpty() -> EXIT_FINDINGS
            report.isEmpty && !isWithoutFaults -> EXIT_NOTHING_MET
            else -> 0
        }
    }

    private companion object {
        const val EXIT_FINDINGS = 1
        const val EXIT_USAGE = 2
        const val EXIT_NOTHING_MET = 3
        const val LARGE_DAEMONS = 5
    }
}
