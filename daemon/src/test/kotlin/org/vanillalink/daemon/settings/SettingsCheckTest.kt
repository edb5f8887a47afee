/*
 * Settings that can't be used.
 */
package org.vanillalink.daemon.settings

import picocli.CommandLine
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class SettingsCheckTest {
    private val usable =
        SettingsText(
            daemon = "ikeja-a",
            failureDomain = "ikeja",
            region = "lagos",
            listen = "127.0.0.1:8080",
            operatorsListen = "127.0.0.1:8081",
            peersListen = "127.0.0.1:8082",
            platform = "127.0.0.1:8090",
            seeds = emptyList(),
            secret = null,
            drainSeconds = 120,
            trafficThreads = 0,
        )

    @Test
    fun `each setting that can't be used is named`() {
        val wrong =
            mapOf(
                "--daemon" to usable.copy(daemon = "ikeja a"),
                "--failure-domain" to usable.copy(failureDomain = ""),
                "--region" to usable.copy(region = "-"),
                "--listen" to usable.copy(listen = "8080"),
                "--operators-listen" to usable.copy(operatorsListen = "127.0.0.1:0"),
                "--peers-listen" to usable.copy(peersListen = "127.0.0.1:70000"),
                "--platform" to usable.copy(platform = ""),
                "--peer" to usable.copy(seeds = listOf("127.0.0.1")),
                "--secret" to usable.copy(secret = "short"),
                "--drain-seconds" to usable.copy(drainSeconds = -1),
                "--traffic-threads" to usable.copy(trafficThreads = 257),
            )

        val named = wrong.mapValues { (_, text) -> SettingsCheck.check(text).leftOrNull()?.setting }

        assertEquals(wrong.keys.associateWith { it }, named)
    }

    @Test
    fun `without a secret the guarded ports may be on the loopback interface only`() {
        val open = usable.copy(operatorsListen = "10.0.0.1:8081")

        val problem = SettingsCheck.check(open).leftOrNull()

        assertEquals("--operators-listen", problem?.setting)
        assertEquals("10.0.0.1:8081", problem?.value)
        assertContains(problem.toString(), "loopback")
    }

    @Test
    fun `a secret that can't be used isn't printed`() {
        val problem = SettingsCheck.check(usable.copy(secret = "short")).leftOrNull()

        assertEquals("(hidden)", problem?.value)
    }

    @Test
    fun `the command ends with exit code 2 and says setting, value and what is allowed`() {
        val errors = ByteArrayOutputStream()
        val before = System.err
        System.setErr(PrintStream(errors))

        val code = CommandLine(DaemonCommand()).execute("--daemon", "a b", "--failure-domain", "ikeja")

        System.setErr(before)
        assertEquals(2, code)
        assertContains(errors.toString(), "--daemon: 'a b' is not allowed; allowed: 1 to 63 letters")
    }
}
