/*
 * The sections of the configuration document, as they are stored and sent between daemons.
 */
package org.vanillalink.configuration

import com.fasterxml.jackson.annotation.JsonCreator
import com.fasterxml.jackson.annotation.JsonValue

/** A section of the document, owned by one team. [wireName] is its name in rows, requests and errors. */
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
        /** Returns the section with the given [wireName], or null if there is none. */
        @JvmStatic
        @JsonCreator
        fun fromWireName(wireName: String): ConfigurationSection? = entries.find { it.wireName == wireName }
    }
}

/** Identifies an operator's edit. The caller creates the id and repeats it in retries of the edit. */
data class EditId
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: String,
    ) {
        override fun toString(): String = value
    }

/**
 * One section's [content] (JSON text). [version] counts the section's accepted edits; [revision] is the document
 * revision that introduced this version; [edit] and [author] identify the edit that wrote it.
 */
data class StoredSection(
    val version: Long,
    val revision: Long,
    val edit: EditId?,
    val author: String,
    val content: String,
) {
    companion object {
        /** A section without any accepted edit. */
        val NEVER_EDITED = StoredSection(version = 0, revision = 0, edit = null, author = "", content = "{}")
    }
}

/** Content of the row `configuration/revision`: the [revision] and the version of each section in it. */
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
    /** Returns this revision with the version of each section. */
    fun toVersions(): RevisionVersions = RevisionVersions(revision, sections.mapValues { it.value.version })

    /** Returns the sections that changed after revision [earlier], with the versions of all sections. */
    fun changesAfter(earlier: Long): SectionChanges =
        SectionChanges(toVersions(), sections.filterValues { it.revision > earlier })

    companion object {
        /** The set in which no section has been edited. */
        val EMPTY = SectionSet(0, ConfigurationSection.entries.associateWith { StoredSection.NEVER_EDITED })
    }
}

/** Response to a peer's query for changes: [sections] holds only the changed sections. */
data class SectionChanges(
    val versions: RevisionVersions,
    val sections: Map<ConfigurationSection, StoredSection>,
) {
    /** Returns the complete set with unchanged sections from [base], or null if the two do not make up the revision. */
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
