/*
 * One line of key=value pairs.
 */
package org.vanillalink.model

/** Writes and reads key=value pairs; a value with spaces, quotes or line ends is quoted. */
object KeyValueLine {
    private val PLAIN = Regex("[^\\s\"=]+")
    private val PAIR = Regex("([\\w.-]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S*)")
    private val ESCAPED = Regex("\\\\(.)")

    /** [pairs] in order, separated by spaces. */
    fun of(vararg pairs: Pair<String, Any?>): String = of(pairs.asList())

    /** [pairs] in order, separated by spaces. */
    fun of(pairs: List<Pair<String, Any?>>): String =
        pairs.joinToString(" ") { (key, value) -> "$key=${quote(value.toString())}" }

    /** The pairs in [line]; what isn't a pair is passed over. */
    fun parse(line: String): Map<String, String> =
        PAIR.findAll(line).associate { it.groupValues[1] to unquote(it.groupValues[2]) }

    private fun unquote(text: String): String {
        if (!text.startsWith('"')) return text
        return ESCAPED.replace(text.removeSurrounding("\"")) { escape ->
            when (val letter = escape.groupValues[1]) {
                "n" -> "\n"
                "r" -> "\r"
                else -> letter
            }
        }
    }

    private fun quote(text: String): String {
        if (PLAIN.matches(text)) return text
        val escaped =
            text
                .replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r")
        return "\"$escaped\""
    }
}
