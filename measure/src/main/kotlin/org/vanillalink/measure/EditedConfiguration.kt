/*
 * A configuration that a model's operators edit: what the editor would write, straight into the table.
 */
package org.vanillalink.measure

import org.vanillalink.configuration.ConfigurationRows
import org.vanillalink.configuration.ConfigurationSection
import org.vanillalink.configuration.SectionSet
import org.vanillalink.configuration.StoredSection
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.testing.InMemoryTableStore

/** Keeps the sections as [store] has them. */
internal class EditedConfiguration(
    private val store: InMemoryTableStore,
) {
    var set = SectionSet.EMPTY
        private set

    /** Replaces [section] by [content] as one accepted edit. */
    fun edit(
        section: ConfigurationSection,
        content: String,
    ) {
        val present = set.sections.getValue(section)
        val changed = StoredSection(present.version + 1, set.revision + 1, null, "operator", content)
        val earlier = set.revision
        set = SectionSet(earlier + 1, set.sections + (section to changed))
        write(
            ConditionalWrite(ConfigurationRows.sectionKey(section), present.version, ConfigurationRows.encode(changed)),
        )
        write(ConditionalWrite(ConfigurationRows.REVISION_KEY, earlier, ConfigurationRows.encode(set.toVersions())))
    }

    private fun write(write: ConditionalWrite) = check(store.transactNow(listOf(write)).isRight())
}
