/*
 * Fingerprints of a prompt's beginning, by which requests find targets that have it cached.
 */
package org.vanillalink.daemon.traffic

import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.model.WorkspaceId
import java.util.zip.CRC32C

/** Computes fingerprints; those of two workspaces have nothing in common. */
object PromptPrefixes {
    private const val BLOCK_BYTES = 256
    private const val BLOCKS = 32

    /** One fingerprint for each whole block of the prompt's beginning, shortest beginning first. */
    fun of(
        workspace: WorkspaceId,
        messages: JsonNode,
    ): List<Long> {
        val text = messages.joinToString("\u0000") { it.path("role").asText() + "\u0000" + it.path("content").asText() }
        val bytes = text.encodeToByteArray()
        val checksum = CRC32C().apply { update(workspace.value.encodeToByteArray()) }
        return (0 until minOf(BLOCKS, bytes.size / BLOCK_BYTES)).map { block ->
            checksum.update(bytes, block * BLOCK_BYTES, BLOCK_BYTES)
            checksum.value
        }
    }
}
