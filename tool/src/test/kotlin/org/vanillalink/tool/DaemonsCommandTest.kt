/*
 * Output for daemons that respond and daemons that are unreachable.
 */
package org.vanillalink.tool

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class DaemonsCommandTest {
    @Test
    fun `an unreachable peer is named and its state is shown as unknown`() {
        val unreachable = unreachableEndpoint()
        val response =
            """{"daemon":"ikeja-a","boot":"1","failureDomain":"ikeja","ready":true,"draining":false,"revision":4,
            "ageMilliseconds":12,"platformReachable":true,
            "control":{"holder":"ikeja-a","fencingNumber":1,"heldHere":true},
            "peers":[{"daemon":"lekki-a","failureDomain":"lekki","operators":
            {"address":"${unreachable.address}","port":${unreachable.port}},"status":"SILENT","heardMilliseconds":9000,
            "revision":3}]}"""
        ScriptedDaemon { response }.use { daemon ->
            val run = runTool("configuration", "status", "--daemons", daemon.endpoint.toString())

            assertEquals(ExitCode.PARTIAL.number, run.exitCode)
            assertContains(run.errors, "could not ask lekki-a at $unreachable")
            assertContains(run.output, Regex("lekki-a +$unreachable +unknown +not asked +unknown"))
            assertContains(run.output, Regex("ikeja-a +.* +4 +12 ms"))
        }
    }

    @Test
    fun `domain out with watch names the daemon that lags behind the revision`() {
        ScriptedDaemon { request -> respondTo(request.path) }.use { daemon ->
            val common = listOf("--daemons", daemon.endpoint.toString(), "--only")
            val watch = listOf("--watch", "--timeout-seconds", "0")
            val run = runTool("domain", "out", "lekki", *(common + watch).toTypedArray())

            assertEquals(ExitCode.NOT_YET.number, run.exitCode)
            assertContains(run.output, "ikeja-a has revision 4 in force")
            assertContains(
                daemon.requests
                    .last { it.method == "POST" }
                    .body
                    .decodeToString(),
                "OUT",
            )
        }
    }

    private fun respondTo(path: String): String = when (path) {
        "/configuration" -> {
            """{"daemon":"ikeja-a","revision":4,"sections":{"failure-domains":{"version":1,"revision":4,"author":"",
            "content":"{\"lekki\":{\"region\":\"lagos\"}}"}}}"""
        }

        "/configuration/edits" -> {
            """{"result":"accepted","version":2,"revision":5}"""
        }

        else -> {
            """{"daemon":"ikeja-a","boot":"1","failureDomain":"ikeja","ready":true,"draining":false,"revision":4,
            "platformReachable":true,"control":{"fencingNumber":1,"heldHere":false},"peers":[]}"""
        }
    }
}
