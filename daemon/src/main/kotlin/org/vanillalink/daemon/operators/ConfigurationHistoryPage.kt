/*
 * The edits that the platform remembers, newest first. While the platform doesn't answer, only the edit that brought
 * each section in force is known.
 */
package org.vanillalink.daemon.operators

import org.vanillalink.configuration.ConfigurationRows
import org.vanillalink.configuration.ConfigurationSection
import org.vanillalink.configuration.StoredSection
import org.vanillalink.daemon.control.ControlLoop
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.TableStore
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.ResponseWriter

/** An accepted edit; [author] is known only for the edit that brought a section's version in force. */
data class HistoryEntry(
    val revision: Long,
    val section: ConfigurationSection,
    val version: Long,
    val edit: String?,
    val author: String?,
)

/** [fromPlatform] is false where only what is in force at [daemon] could be told. */
data class HistoryAnswer(
    val daemon: String,
    val fromPlatform: Boolean,
    val edits: List<HistoryEntry>,
)

internal class ConfigurationHistoryPage(
    private val daemon: String,
    private val loop: ControlLoop,
    private val table: TableStore,
) : OperatorsPage {
    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        loop
            .ask { control ->
                control.replicaState.inForce
                    ?.set
                    ?.sections
                    .orEmpty()
            }.thenAccept { inForce ->
                table.scan(RECENT_EDITS).thenAccept { rows ->
                    response.answerJson(rows.fold({ withoutPlatform(inForce) }, { describe(it, inForce) }))
                }
            }
    }

    private fun withoutPlatform(inForce: Map<ConfigurationSection, StoredSection>): HistoryAnswer =
        HistoryAnswer(daemon, fromPlatform = false, entriesOf(inForce).sortedByDescending { it.revision })

    private fun describe(
        rows: Map<RowKey, Row>,
        inForce: Map<ConfigurationSection, StoredSection>,
    ): HistoryAnswer {
        val known = entriesOf(inForce).associateBy { it.revision }
        val recorded =
            rows.values.flatMap { ConfigurationRows.decodeEdits(it).orEmpty() }.map {
                HistoryEntry(it.revision, it.section, it.version, it.edit.value, known[it.revision]?.author)
            }
        val all = (known.values + recorded).associateBy { it.revision }
        return HistoryAnswer(daemon, fromPlatform = true, all.values.sortedByDescending { it.revision })
    }

    private fun entriesOf(inForce: Map<ConfigurationSection, StoredSection>): List<HistoryEntry> =
        inForce.filterValues { it.version > 0 }.map { (section, stored) ->
            HistoryEntry(stored.revision, section, stored.version, stored.edit?.value, stored.author)
        }

    private companion object {
        const val RECENT_EDITS = "configuration/recent-edits/"
    }
}
