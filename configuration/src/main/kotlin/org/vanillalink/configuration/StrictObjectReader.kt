/*
 * Strict reading of a JSON object: each key is read once with its expected type and range, and keys that were not read
 * are reported as errors.
 */
package org.vanillalink.configuration

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode

/** Collects the validation errors of one section. */
internal class ErrorCollector(
    private val section: ConfigurationSection,
) {
    private val collected = mutableListOf<ConfigurationError>()

    val errors: List<ConfigurationError> get() = collected

    fun add(
        path: String,
        problem: ConfigurationProblem,
        value: JsonNode?,
        allowed: String,
    ) {
        collected.add(ConfigurationError(section, path, problem, value?.toString(), allowed))
    }
}

/** Reads [node], located at [path] in its section, and adds validation errors to [errors]. */
internal class StrictObjectReader(
    private val node: ObjectNode,
    private val path: String,
    private val errors: ErrorCollector,
) {
    private val readKeys = mutableSetOf<String>()

    fun readInt(
        key: String,
        default: Int,
        range: IntRange,
    ): Int = readLong(key, default.toLong(), range.first.toLong()..range.last.toLong()).toInt()

    fun readLong(
        key: String,
        default: Long,
        range: LongRange,
    ): Long {
        val allowed = "a whole number from ${range.first} to ${range.last}"
        val value = findNode(key) ?: return default
        if (!value.isIntegralNumber) return reportWrongType(key, value, allowed, default)
        if (value.canConvertToLong() && value.longValue() in range) return value.longValue()
        errors.add(keyPath(key), ConfigurationProblem.OUT_OF_RANGE, value, allowed)
        return default
    }

    fun readDouble(
        key: String,
        default: Double,
        range: ClosedFloatingPointRange<Double>,
    ): Double {
        val allowed = "a number from ${range.start} to ${range.endInclusive}"
        val value = findNode(key) ?: return default
        if (!value.isNumber) return reportWrongType(key, value, allowed, default)
        if (value.doubleValue() in range) return value.doubleValue()
        errors.add(keyPath(key), ConfigurationProblem.OUT_OF_RANGE, value, allowed)
        return default
    }

    /** Returns the constant named by [key]; adds an error if the key is missing and there is no [default]. */
    fun <Constant : Enum<Constant>> readEnum(
        key: String,
        constants: List<Constant>,
        default: Constant? = null,
    ): Constant {
        val allowed = "one of ${constants.joinToString { it.name }}"
        val value = findNode(key)
        if (value == null && default == null) errors.add(keyPath(key), ConfigurationProblem.MISSING_KEY, null, allowed)
        if (value == null) return default ?: constants.first()
        if (!value.isTextual) return reportWrongType(key, value, allowed, constants.first())
        constants.find { it.name == value.textValue() }?.let { return it }
        errors.add(keyPath(key), ConfigurationProblem.OUT_OF_RANGE, value, allowed)
        return constants.first()
    }

    fun readRequiredString(
        key: String,
        pattern: Regex,
        allowed: String,
    ): String {
        val value = findNode(key)
        if (value == null) errors.add(keyPath(key), ConfigurationProblem.MISSING_KEY, null, allowed)
        return if (value == null) "" else readString(keyPath(key), value, pattern, allowed)
    }

    fun readStringSet(
        key: String,
        default: Set<String>,
        pattern: Regex,
        allowed: String,
    ): Set<String> {
        val value = findNode(key) ?: return default
        if (!value.isArray) return reportWrongType(key, value, "a list of: $allowed", default)
        val strings =
            value.mapIndexed { index, item -> readString("${keyPath(key)}[$index]", item, pattern, allowed) }
        strings.indices.filter { strings.indexOf(strings[it]) < it }.forEach {
            errors.add("${keyPath(key)}[$it]", ConfigurationProblem.DUPLICATE_KEY, value[it], "each value once")
        }
        return strings.toSet()
    }

    /** Adds an error for each key that was not read. */
    fun rejectUnknownKeys() {
        val allowed = "one of ${readKeys.sorted().joinToString()}"
        val unknownKeys = node.fieldNames().asSequence().filter { it !in readKeys }
        unknownKeys.forEach { errors.add(keyPath(it), ConfigurationProblem.UNKNOWN_KEY, node[it], allowed) }
    }

    private fun readString(
        valuePath: String,
        value: JsonNode,
        pattern: Regex,
        allowed: String,
    ): String {
        if (!value.isTextual) errors.add(valuePath, ConfigurationProblem.WRONG_TYPE, value, allowed)
        if (!value.isTextual) return ""
        if (pattern.matches(value.textValue())) return value.textValue()
        errors.add(valuePath, ConfigurationProblem.OUT_OF_RANGE, value, allowed)
        return value.textValue()
    }

    private fun findNode(key: String): JsonNode? {
        readKeys.add(key)
        return node[key]
    }

    private fun <Value> reportWrongType(
        key: String,
        value: JsonNode,
        allowed: String,
        default: Value,
    ): Value {
        errors.add(keyPath(key), ConfigurationProblem.WRONG_TYPE, value, allowed)
        return default
    }

    private fun keyPath(key: String): String = if (path.isEmpty()) key else "$path.$key"
}
