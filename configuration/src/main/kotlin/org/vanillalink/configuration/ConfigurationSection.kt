/*
 * The sections of the configuration document, as they are stored and passed between daemons.
 */
package org.vanillalink.configuration

import com.fasterxml.jackson.annotation.JsonCreator
import com.fasterxml.jackson.annotation.JsonValue

/** A part of the document that one team owns. [wireName] is its name in rows, requests and errors. */
enum class ConfigurationSection(
    @get:JsonValue val wireName: String,
) {
    SERVICES("services"),
    WORKSPACES("workspaces"),
    FAILURE_DOMAINS("failure-domains"),
    TARGETS("targets"),
    LIMITS("limits"),
    ;

    companion object {
        /** The section called [wireName], or null where there is none. */
        @JvmStatic
        @JsonCreator
        fun fromWireName(wireName: String): ConfigurationSection? = entries.find { it.wireName == wireName }
    }
}

/** An operator's name for one edit, chosen by the caller and repeated in its retries. */
data class EditId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) {
        override fun toString(): String = value
    }

/**
 * One section's [content] (JSON text). [version] counts this section's accepted edits; [revision] is the document's
 * revision that brought this version; [edit] and [author] say who did.
 */
data class StoredSection(
    val version: Long,
    val revision: Long,
    val edit: EditId?,
    val author: String,
    val content: String,
) {
    companion object {
        /** A section that nobody has edited yet. */
        val NEVER_EDITED = StoredSection(version = 0, revision = 0, edit = null, author = "", content = "{}")
    }
}

/** What the row `configuration/revision` holds: the [revision] and the version of each section in it. */
data class RevisionVersions(
    val revision: Long,
    val versions: Map<ConfigurationSection, Long>,
) {
    companion object {
        /** The revision of a platform that holds no configuration. */
        val EMPTY = RevisionVersions(0, ConfigurationSection.entries.associateWith { 0L })
    }
}

/** All sections at one revision; [sections] has an entry for every section. */
data class SectionSet(
    val revision: Long,
    val sections: Map<ConfigurationSection, StoredSection>,
) {
    /** The versions that make up this revision. */
    fun toVersions(): RevisionVersions = RevisionVersions(revision, sections.mapValues { it.value.version })

    /** The sections that changed after [earlier], with the versions of all. */
    fun changesAfter(earlier: Long): SectionChanges =
        SectionChanges(toVersions(), sections.filterValues { it.revision > earlier })

    companion object {
        /** No section edited yet. */
        val EMPTY = SectionSet(0, ConfigurationSection.entries.associateWith { StoredSection.NEVER_EDITED })
    }
}

/** What a daemon answers to a peer that asks what changed: [sections] holds only the changed ones. */
data class SectionChanges(
    val versions: RevisionVersions,
    val sections: Map<ConfigurationSection, StoredSection>,
) {
    /** The whole set, taking what didn't change from [base]; null where the two don't make up the revision. */
    fun completeFrom(base: SectionSet): SectionSet? {
        val allSections = ConfigurationSection.entries.associateWith { findSection(it, base) ?: return null }
        return SectionSet(versions.revision, allSections)
    }

    private fun findSection(
        section: ConfigurationSection,
        base: SectionSet,
    ): StoredSection? {
        val candidates = listOfNotNull(sections[section], base.sections[section])
        return candidates.find { it.version == versions.versions[section] && it.revision <= versions.revision }
    }
}
