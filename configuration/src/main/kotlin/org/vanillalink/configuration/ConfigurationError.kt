/*
 * Validation errors of a configuration document, with their location.
 */
package org.vanillalink.configuration

/** Kind of a validation error. */
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
 * One validation error. [path] holds the keys from the section's root, joined by dots, and is empty for the section
 * itself; [value] is the value found, as JSON, or null if there was none; [allowed] describes the accepted values.
 */
data class ConfigurationError(
    val section: ConfigurationSection,
    val path: String,
    val problem: ConfigurationProblem,
    val value: String?,
    val allowed: String,
)
