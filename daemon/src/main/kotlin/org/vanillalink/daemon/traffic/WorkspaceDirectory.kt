/*
 * Tells which workspace a caller belongs to.
 */
package org.vanillalink.daemon.traffic

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.configuration.WorkspaceSettings
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import org.vanillalink.transport.HeaderFields
import java.security.MessageDigest

/** A caller whose key, or on the loopback interface whose word, was accepted. */
data class Caller(
    val workspace: WorkspaceId,
    val settings: WorkspaceSettings,
) {
    /** Whether this caller may use [service]. */
    fun mayUse(service: ServiceName): Boolean = settings.services.isEmpty() || service in settings.services
}

/**
 * The workspaces of one configuration. A workspace without keys is open to callers that name it, but only where
 * [loopbackOnly] says that nobody from another machine can connect.
 */
class WorkspaceDirectory(
    private val document: ConfigurationDocument,
    private val loopbackOnly: Boolean,
) {
    private val byKeyHash: Map<String, WorkspaceId> =
        document.workspaces
            .flatMap { (workspace, settings) -> settings.keyHashes.map { it to workspace } }
            .toMap()

    /** The caller that sent [headers]. */
    fun authenticate(headers: HeaderFields): Either<Refusal, Caller> {
        val key = headers["authorization"]?.takeIf { it.startsWith(BEARER, ignoreCase = true) }?.drop(BEARER.length)
        val workspace = if (key == null) named(headers) else byKeyHash[sha256(key.trim())]
        val settings = workspace?.let { document.workspaces[it] } ?: return UNAUTHENTICATED.left()
        return Caller(workspace, settings).right()
    }

    private fun named(headers: HeaderFields): WorkspaceId? {
        val workspace = headers[CallerProtocol.WORKSPACE_HEADER]?.let(::WorkspaceId) ?: return null
        val open = document.workspaces[workspace]?.keyHashes?.isEmpty() == true
        return workspace.takeIf { open && loopbackOnly }
    }

    private companion object {
        const val BEARER = "bearer "
        val UNAUTHENTICATED =
            Refusal(
                RefusalReason.UNAUTHENTICATED,
                RefusalOutcome.NOT_RUN,
                "Send a workspace's key as 'authorization: Bearer <key>'.",
            )

        fun sha256(text: String): String = MessageDigest
            .getInstance("SHA-256")
            .digest(text.encodeToByteArray())
            .joinToString("") { "%02x".format(it) }
    }
}
