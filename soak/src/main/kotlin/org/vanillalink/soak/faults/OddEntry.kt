/*
 * Entries among those of the targets that another writer has put there.
 */
package org.vanillalink.soak.faults

import org.vanillalink.soak.deployment.OperatorConfiguration
import org.vanillalink.soak.deployment.SoakDeployment
import kotlin.random.Random

/** Builds entries that name no target to use. */
internal object OddEntry {
    private const val LONGEST = 48_000
    private val PIECES = listOf(":", "[", "1", "1.", "f:", " ", "a")

    /** Returns an entry one field of which isn't what it should be, and is mostly long; [random] chooses. */
    fun build(random: Random): String {
        val text = PIECES.random(random).repeat(random.nextInt(1, LONGEST / 2)) + "x"
        val entry =
            linkedMapOf(
                "service" to quote(OperatorConfiguration.DESK),
                "address" to quote("127.0.0.1:1"),
                "zone" to quote(SoakDeployment.DOMAINS.first()),
                "slots" to "6",
                "state" to quote("ready"),
                "coldLeftMs" to "0",
                "sequence" to "1",
                "born" to "1",
            )
        when (random.nextInt(KINDS)) {
            0 -> return "{" + "[".repeat(random.nextInt(LONGEST))
            1 -> entry["state"] = quote(text)
            2 -> entry.remove("zone")
            else -> entry["address"] = quote("$text:80")
        }
        return entry.entries.joinToString(",", "{", "}") { (name, value) -> "${quote(name)}:$value" }
    }

    private fun quote(text: String) = "\"$text\""

    private const val KINDS = 6
}
