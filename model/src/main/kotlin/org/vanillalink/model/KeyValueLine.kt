/*
 * One line of key=value pairs.
 */
package org.vanillalink.model

/** Writes key=value pairs; a value with spaces, quotes or line ends is quoted. */
object KeyValueLine {
    private val PLAIN = Regex("[^\\s\"=]+")

    /** [pairs] in order, separated by spaces. */
    fun of(vararg pairs: Pair<String, Any?>): String = of(pairs.asList())

    /** [pairs] in order, separated by spaces. */
    fun of(pairs: List<Pair<String, Any?>>): String =
        pairs.joinToString(" ") { (key, value) -> "$key=${quote(value.toString())}" }

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
