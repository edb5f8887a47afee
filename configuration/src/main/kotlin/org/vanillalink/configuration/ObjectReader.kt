/*
 * Strict reading of a JSON object: each key is asked for once with its type and range, and keys that nobody asked for
 * are errors.
 */
package org.vanillalink.configuration

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode

/** Collects the errors of one section. */
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

/** Reads [node], which lies at [path], and adds what is wrong to [errors]. */
internal class ObjectReader(
    private val node: ObjectNode,
    private val path: String,
    private val errors: ErrorCollector,
) {
    private val known = mutableSetOf<String>()

    fun integer(
        key: String,
        default: Int,
        range: IntRange,
    ): Int = long(key, default.toLong(), range.first.toLong()..range.last.toLong()).toInt()

    fun long(
        key: String,
        default: Long,
        range: LongRange,
    ): Long {
        val allowed = "a whole number from ${range.first} to ${range.last}"
        val value = find(key) ?: return default
        if (!value.isIntegralNumber) return wrongType(key, value, allowed, default)
        if (value.canConvertToLong() && value.longValue() in range) return value.longValue()
        errors.add(place(key), ConfigurationProblem.OUT_OF_RANGE, value, allowed)
        return default
    }

    fun fraction(
        key: String,
        default: Double,
        range: ClosedFloatingPointRange<Double>,
    ): Double {
        val allowed = "a number from ${range.start} to ${range.endInclusive}"
        val value = find(key) ?: return default
        if (!value.isNumber) return wrongType(key, value, allowed, default)
        if (value.doubleValue() in range) return value.doubleValue()
        errors.add(place(key), ConfigurationProblem.OUT_OF_RANGE, value, allowed)
        return default
    }

    /** One of [choices] by name; an error where the key is missing and there is no [default]. */
    fun <Choice : Enum<Choice>> choice(
        key: String,
        choices: List<Choice>,
        default: Choice? = null,
    ): Choice {
        val allowed = "one of ${choices.joinToString { it.name }}"
        val value = find(key)
        if (value == null && default == null) errors.add(place(key), ConfigurationProblem.MISSING_KEY, null, allowed)
        if (value == null) return default ?: choices.first()
        if (!value.isTextual) return wrongType(key, value, allowed, choices.first())
        choices.find { it.name == value.textValue() }?.let { return it }
        errors.add(place(key), ConfigurationProblem.OUT_OF_RANGE, value, allowed)
        return choices.first()
    }

    fun requiredText(
        key: String,
        pattern: Regex,
        allowed: String,
    ): String {
        val value = find(key)
        if (value == null) errors.add(place(key), ConfigurationProblem.MISSING_KEY, null, allowed)
        return if (value == null) "" else checkedText(place(key), value, pattern, allowed)
    }

    fun texts(
        key: String,
        default: Set<String>,
        pattern: Regex,
        allowed: String,
    ): Set<String> {
        val value = find(key) ?: return default
        if (!value.isArray) return wrongType(key, value, "a list of: $allowed", default)
        val read = value.mapIndexed { index, item -> checkedText("${place(key)}[$index]", item, pattern, allowed) }
        read.indices.filter { read.indexOf(read[it]) < it }.forEach {
            errors.add("${place(key)}[$it]", ConfigurationProblem.DUPLICATE_KEY, value[it], "each value once")
        }
        return read.toSet()
    }

    /** Adds an error for each key that was not read. */
    fun finish() {
        val allowed = "one of ${known.sorted().joinToString()}"
        val unknown = node.fieldNames().asSequence().filter { it !in known }
        unknown.forEach { errors.add(place(it), ConfigurationProblem.UNKNOWN_KEY, node[it], allowed) }
    }

    private fun checkedText(
        place: String,
        value: JsonNode,
        pattern: Regex,
        allowed: String,
    ): String {
        if (!value.isTextual) errors.add(place, ConfigurationProblem.WRONG_TYPE, value, allowed)
        if (!value.isTextual) return ""
        if (pattern.matches(value.textValue())) return value.textValue()
        errors.add(place, ConfigurationProblem.OUT_OF_RANGE, value, allowed)
        return value.textValue()
    }

    private fun find(key: String): JsonNode? {
        known.add(key)
        return node[key]
    }

    private fun <Value> wrongType(
        key: String,
        value: JsonNode,
        allowed: String,
        default: Value,
    ): Value {
        errors.add(place(key), ConfigurationProblem.WRONG_TYPE, value, allowed)
        return default
    }

    private fun place(key: String): String = if (path.isEmpty()) key else "$path.$key"
}
