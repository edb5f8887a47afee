/*
 * Why a document is not accepted, with the place.
 */
package org.vanillalink.configuration

/** What is wrong at one place. */
enum class ConfigurationProblem {
    MALFORMED_JSON,
    DUPLICATE_KEY,
    UNKNOWN_KEY,
    MISSING_KEY,
    WRONG_TYPE,
    OUT_OF_RANGE,
    UNKNOWN_REFERENCE,
}

/**
 * One error. [path] holds the keys from the section's top, joined by dots, and is empty for the section itself;
 * [value] is what was found as JSON, null where nothing was; [allowed] says what the place takes.
 */
data class ConfigurationError(
    val section: ConfigurationSection,
    val path: String,
    val problem: ConfigurationProblem,
    val value: String?,
    val allowed: String,
)
