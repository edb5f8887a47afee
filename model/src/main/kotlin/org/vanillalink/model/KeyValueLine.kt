/*
 * Log lines of key=value pairs.
 */
package org.vanillalink.model

/** Formats and parses key=value pairs. Values that are empty or contain whitespace, quotes or `=` are quoted. */
object KeyValueLine {
    private val UNQUOTED_VALUE = Regex("[^\\s\"=]+")
    private val KEY_VALUE_PAIR = Regex("([\\w.-]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S*)")
    private val ESCAPE_SEQUENCE = Regex("\\\\(.)")

    /** Formats [pairs] in order, separated by spaces. */
    fun format(vararg pairs: Pair<String, Any?>): String = format(pairs.asList())

    /** Formats [pairs] in order, separated by spaces. */
    fun format(pairs: List<Pair<String, Any?>>): String =
        pairs.joinToString(" ") { (key, value) -> "$key=${quote(value.toString())}" }

    /** Parses the pairs in [line]; other text is ignored. */
    fun parse(line: String): Map<String, String> =
        KEY_VALUE_PAIR.findAll(line).associate { it.groupValues[1] to unquote(it.groupValues[2]) }

    private fun unquote(text: String): String {
        if (!text.startsWith('"')) return text
        return ESCAPE_SEQUENCE.replace(text.removeSurrounding("\"")) { escape ->
            when (val escapedCharacter = escape.groupValues[1]) {
                "n" -> "\n"
                "r" -> "\r"
                else -> escapedCharacter
            }
        }
    }

    private fun quote(text: String): String {
        if (UNQUOTED_VALUE.matches(text)) return text
        val escaped =
            text
                .replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r")
        return "\"$escaped\""
    }
}
