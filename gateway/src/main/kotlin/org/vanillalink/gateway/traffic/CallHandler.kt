/*
 * Accepts callers' requests: finds the route, checks the key, and starts a call.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.RequestMetadata
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import org.vanillalink.serving.balancing.RequestFingerprint
import org.vanillalink.serving.balancing.RequestSignature
import org.vanillalink.serving.balancing.RequestWork
import org.vanillalink.serving.catalog.CallKind
import org.vanillalink.serving.catalog.Catalog
import org.vanillalink.serving.catalog.Route
import org.vanillalink.serving.catalog.ServiceDefinition
import org.vanillalink.serving.catalog.Workspace
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.RetryAfterPrecision
import org.vanillalink.transport.refuse
import java.time.Duration
import java.util.zip.CRC32
import kotlin.random.Random

/** The freshness of the configuration of keys and routes. */
internal fun interface ConfigurationFreshness {
    /** Whether the configuration was confirmed recently enough to accept keys by it. */
    fun isFresh(): Boolean
}

internal class CallHandler(
    private val context: CallContext,
    private val configurationFreshness: ConfigurationFreshness,
    private val random: Random,
    private val onRequest: () -> Unit,
    /** Whether this daemon has too little time left to finish the requests that it receives from now on. */
    private val isDraining: () -> Boolean,
) : HttpRequestHandler {
    private class Rejection(
        val reason: RefusalReason,
        val detail: String,
        val retryAfter: Duration? = null,
        val logFields: List<Pair<String, Any?>> = emptyList(),
    )

    override fun onAbandoned(request: HttpRequestMessage) =
        context.requestLogger.logAbandoned(context.protocol.readRequest(request), request.path)

    override fun onFailure(
        request: HttpRequestMessage,
        failure: Exception,
    ) = context.requestLogger.logHandlerFailed(context.protocol.readRequest(request), request.path, failure)

    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        onRequest()
        val metadata = readRequest(request, response)
        val now = context.now()
        val catalog = context.state.view.catalog
        val rejection =
            when {
                isDraining() -> STOPPING
                catalog == null -> NOT_CONFIGURED
                else -> admit(catalog, request, metadata, now, response)
            }
        if (rejection != null) reject(request, metadata, rejection, response)
    }

    override fun refuse(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) = reject(request, readRequest(request, response), CLOSING, response)

    private fun readRequest(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ): RequestMetadata = context.protocol.readRequest(request).also { it.requestId?.let(response::identify) }

    private fun reject(
        request: HttpRequestMessage,
        metadata: RequestMetadata,
        rejection: Rejection,
        response: ResponseWriter,
    ) {
        val canRetryElsewhere = rejection.reason.status == STATUS_UNAVAILABLE
        val retryAfter =
            rejection.retryAfter ?: AdmittedRequest.OTHER_DAEMON_RETRY_AFTER.takeIf { canRetryElsewhere }
        context.requestLogger.logRejected(
            metadata,
            request.path,
            rejection.reason,
            rejection.detail,
            rejection.logFields,
        )
        response.refuse(
            Refusal(rejection.reason, RefusalOutcome.NOT_RUN, rejection.detail, retryAfter),
            metadata.requestId,
            RetryAfterPrecision.TENTHS,
        )
    }

    /** Starts the call, or returns why the request is rejected. */
    private fun admit(
        catalog: Catalog,
        request: HttpRequestMessage,
        metadata: RequestMetadata,
        now: Long,
        response: ResponseWriter,
    ): Rejection? {
        val isFresh = configurationFreshness.isFresh()
        val route =
            catalog.findRoute(metadata.host, request.path) ?: return if (isFresh) NO_ROUTE else STALE_CONFIGURATION
        val workspace = metadata.key?.let(catalog::findWorkspace)
        val needsKey = catalog.isKeyRequired && !route.isPublic
        if (needsKey && (!isFresh || workspace == null)) return if (isFresh) UNKNOWN_KEY else STALE_CONFIGURATION
        val service = chooseService(catalog, route) ?: return NO_SERVICE
        context.state.recordRequest(service, metadata.model, now)
        return startUnlessPoison(buildRequest(catalog, request, metadata, route, service, workspace, now), response)
    }

    private fun startUnlessPoison(
        admitted: AdmittedRequest,
        response: ResponseWriter,
    ): Rejection? {
        val now = admitted.arrivedAt
        val block = context.state.poisonDetector.findBlockOrBeginTrial(admitted.signature, now)
        if (block == null) {
            start(admitted, response)
            return null
        }
        return Rejection(
            RefusalReason.POISON_SUSPECTED,
            "targets failed when they began to answer requests like this one",
            Duration.ofMillis(context.state.poisonDetector.remainingMilliseconds(block, now)),
            listOf(
                "trait" to block.trait.kind,
                "value" to block.trait.value,
                "blockedMs" to now - block.since,
                "lastLossAgeMs" to now - block.lastLossAt,
                "lost" to block.targets.joinToString(",") { it.id.value },
            ),
        )
    }

    private fun buildRequest(
        catalog: Catalog,
        request: HttpRequestMessage,
        metadata: RequestMetadata,
        route: Route,
        service: ServiceDefinition,
        workspace: Workspace?,
        now: Long,
    ): AdmittedRequest {
        val callerTimeout = metadata.deadlineMilliseconds ?: route.timeoutMilliseconds
        val timeout =
            if (route.timeoutMilliseconds > 0) minOf(callerTimeout, route.timeoutMilliseconds) else callerTimeout
        val hasPriorities = catalog.hasPriorities(service.name)
        return AdmittedRequest(
            message = request,
            metadata = metadata,
            route = route,
            service = service,
            workspace = workspace,
            arrivedAt = now,
            responseDeadline = now + timeout,
            callerDeadline = now + callerTimeout,
            signature = RequestSignature(computeFingerprint(request, metadata, workspace), metadata.sharedPromptParts),
            work =
                RequestWork(
                    promptTokens = metadata.promptTokens,
                    answerTokens = metadata.answerTokens,
                    priority = (workspace?.priority ?: route.priority).takeIf { hasPriorities },
                    goalAt = now + route.latencyGoalMilliseconds,
                ),
        )
    }

    private fun start(
        admitted: AdmittedRequest,
        response: ResponseWriter,
    ) {
        if (admitted.route.kind == CallKind.STREAM) {
            StreamCall(context, admitted, response).startFirstAttempt()
        } else {
            BufferedCall(context, admitted, response).start()
        }
    }

    private fun chooseService(
        catalog: Catalog,
        route: Route,
    ): ServiceDefinition? {
        val totalWeight = route.services.sumOf { it.weight }
        if (totalWeight <= 0) return null
        var remainingWeight = random.nextInt(totalWeight)
        val chosenShare =
            route.services.first { share ->
                remainingWeight -= share.weight
                remainingWeight < 0
            }
        return catalog.findService(chosenShare.service)
    }

    /** The caller is the workspace, whose keys change; a caller without one is known by its key. */
    private fun computeFingerprint(
        request: HttpRequestMessage,
        metadata: RequestMetadata,
        workspace: Workspace?,
    ): RequestFingerprint {
        val caller = workspace?.id?.value ?: metadata.key
        val checksum = CRC32()
        checksum.update(request.body)
        return RequestFingerprint(
            "${caller.hashCode()}-${request.target.hashCode()}-${request.body.size}-${checksum.value}",
        )
    }

    private companion object {
        const val STATUS_UNAVAILABLE = 503
        val STOPPING = Rejection(RefusalReason.NOT_READY, "this daemon is stopping")
        val CLOSING = Rejection(RefusalReason.NOT_READY, "the response before said that the connection is closed")
        val NOT_CONFIGURED = Rejection(RefusalReason.NOT_READY, "no configuration is known yet")
        val STALE_CONFIGURATION = Rejection(RefusalReason.NOT_READY, "the configuration could not be confirmed lately")
        val NO_ROUTE = Rejection(RefusalReason.UNKNOWN_SERVICE, "no route leads there")
        val UNKNOWN_KEY = Rejection(RefusalReason.UNAUTHENTICATED, "the key belongs to no workspace")
        val NO_SERVICE = Rejection(RefusalReason.NO_SERVING_TARGET, "the route's service is not configured")
    }
}
