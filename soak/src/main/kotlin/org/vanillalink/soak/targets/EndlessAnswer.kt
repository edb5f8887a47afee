/*
 * An answer that goes on until its caller closes.
 */
package org.vanillalink.soak.targets

/** Writes to the caller of [pipe] what begins like an answer with [head]. */
internal class EndlessAnswer(
    private val pipe: ProxyPipe,
    private val place: EndlessPlace,
    private val head: String,
) {
    private var rounds = 0

    fun start() {
        pipe.toCaller(beginning().toByteArray(Charsets.ISO_8859_1))
        goOn()
    }

    private fun beginning(): String {
        val fields = head.removeSuffix(LINE_END).lines().filterNot { it.matches(FRAMING) }
        val openHead = fields.joinToString(LINE_END).trimEnd() + LINE_END
        return when (place) {
            EndlessPlace.STATUS_LINE -> {
                head.substringBefore(LINE_END) + " "
            }

            EndlessPlace.FIELD -> {
                openHead + "padding: "
            }

            EndlessPlace.HEAD -> {
                openHead
            }

            EndlessPlace.CHUNKS -> {
                openHead + "transfer-encoding: chunked$LINE_END$LINE_END"
            }

            EndlessPlace.WITHOUT_LENGTH -> {
                openHead + LINE_END
            }

            EndlessPlace.EVENT -> {
                openHead +
                    "transfer-encoding: chunked$LINE_END${LINE_END}a${LINE_END}id: 0\ndata$LINE_END"
            }
        }
    }

    private fun goOn() {
        if (!pipe.isOpen || rounds++ > MOST_ROUNDS) return pipe.close()
        if (!pipe.isBacklogged) pipe.toCaller(piece())
        pipe.schedule(PAUSE_MS, ::goOn)
    }

    private fun piece(): ByteArray {
        val padding = "a".repeat(PIECE_BYTES)
        return when (place) {
            EndlessPlace.HEAD -> "padding-$rounds: $padding$LINE_END"
            EndlessPlace.CHUNKS, EndlessPlace.EVENT -> "${PIECE_BYTES.toString(HEXADECIMAL)}$LINE_END$padding$LINE_END"
            else -> padding
        }.toByteArray()
    }

    private companion object {
        const val LINE_END = "\r\n"
        const val PIECE_BYTES = 4_096
        const val PAUSE_MS = 3L
        const val MOST_ROUNDS = 10_000
        const val HEXADECIMAL = 16
        val FRAMING = Regex("(?i)(content-length|transfer-encoding):.*")
    }
}
