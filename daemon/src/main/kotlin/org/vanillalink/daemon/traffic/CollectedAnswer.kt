/*
 * A target's answer that is collected whole before anybody gets it.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.transport.HeaderFields
import java.io.ByteArrayOutputStream

internal class CollectedAnswer(
    val status: Int,
    val headers: HeaderFields,
) {
    private val bytes = ByteArrayOutputStream()

    val body: ByteArray get() = bytes.toByteArray()

    /** Adds [piece]; false where the answer is larger than is taken. */
    fun add(piece: ByteArray): Boolean {
        bytes.write(piece)
        return bytes.size() <= LARGEST_ANSWER_BYTES
    }

    private companion object {
        const val LARGEST_ANSWER_BYTES = 4_194_304
    }
}
