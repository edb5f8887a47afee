/*
 * Takes callers' requests: finds the route, checks the key, and hands the request to a call.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.CallMarks
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import org.vanillalink.serving.balancing.RequestFingerprint
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
import java.util.zip.CRC32
import kotlin.random.Random

/** The age of what is known of keys and routes. */
internal fun interface KnowledgeAge {
    /** Whether the configuration is known to be recent enough to accept keys by it. */
    fun isFresh(): Boolean
}

internal class CallHandler(
    private val context: TrafficContext,
    private val knowledge: KnowledgeAge,
    private val random: Random,
    private val onRequest: () -> Unit,
) : HttpRequestHandler {
    private class Rejected(
        val reason: RefusalReason,
        val detail: String,
    )

    override fun onAbandoned(request: HttpRequestMessage) =
        context.log.abandoned(context.protocol.read(request), request.path)

    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        onRequest()
        val marks = context.protocol.read(request)
        val now = context.now()
        val catalog = context.state.view.catalog
        val rejection = if (catalog == null) NOT_CONFIGURED else admit(catalog, request, marks, now, response)
        if (rejection == null) return
        val isElsewherePossible = rejection.reason.status == STATUS_UNAVAILABLE
        val retryAfter = AdmittedRequest.ELSEWHERE_RETRY_AFTER.takeIf { isElsewherePossible }
        context.log.rejected(marks, request.path, rejection.reason, rejection.detail)
        response.refuse(
            Refusal(rejection.reason, RefusalOutcome.NOT_RUN, rejection.detail, retryAfter),
            marks.requestId,
            RetryAfterPrecision.TENTHS,
        )
    }

    /** Begins the call, or gives why it can't begin. */
    private fun admit(
        catalog: Catalog,
        request: HttpRequestMessage,
        marks: CallMarks,
        now: Long,
        answer: ResponseWriter,
    ): Rejected? {
        val isFresh = knowledge.isFresh()
        val route = catalog.findRoute(marks.host, request.path) ?: return if (isFresh) NO_ROUTE else STALE
        val workspace = marks.key?.let(catalog::findWorkspace)
        val needsKey = catalog.isKeyRequired && !route.isPublic
        if (needsKey && (!isFresh || workspace == null)) return if (isFresh) UNKNOWN_KEY else STALE
        val service = chooseService(catalog, route) ?: return NO_SERVICE
        context.state.requested(service, marks.model, now)
        return begin(admitted(request, marks, route, service, workspace, now), answer)
    }

    private fun begin(
        admitted: AdmittedRequest,
        answer: ResponseWriter,
    ): Rejected? {
        if (context.state.failures.isPoisonRequest(admitted.fingerprint, admitted.arrivedAt)) return REPEATED_FAILURE
        start(admitted, answer)
        return null
    }

    private fun admitted(
        request: HttpRequestMessage,
        marks: CallMarks,
        route: Route,
        service: ServiceDefinition,
        workspace: Workspace?,
        now: Long,
    ): AdmittedRequest {
        val deadline = marks.deadlineMilliseconds ?: route.timeoutMilliseconds
        val patience = if (route.timeoutMilliseconds > 0) minOf(deadline, route.timeoutMilliseconds) else deadline
        return AdmittedRequest(
            message = request,
            marks = marks,
            route = route,
            service = service,
            workspace = workspace,
            arrivedAt = now,
            answerBy = now + patience,
            callerDeadline = now + deadline,
            fingerprint = fingerprint(request, marks),
        )
    }

    private fun start(
        admitted: AdmittedRequest,
        answer: ResponseWriter,
    ) {
        if (admitted.route.kind == CallKind.STREAM) {
            StreamCall(context, admitted, answer).begin()
        } else {
            PlainCall(context, admitted, answer).start()
        }
    }

    private fun chooseService(
        catalog: Catalog,
        route: Route,
    ): ServiceDefinition? {
        val total = route.services.sumOf { it.weight }
        if (total <= 0) return null
        var drawn = random.nextInt(total)
        val chosen =
            route.services.first { part ->
                drawn -= part.weight
                drawn < 0
            }
        return catalog.findService(chosen.service)
    }

    private fun fingerprint(
        request: HttpRequestMessage,
        marks: CallMarks,
    ): RequestFingerprint {
        val digest = CRC32()
        digest.update(request.body)
        return RequestFingerprint(
            "${marks.key.hashCode()}-${request.target.hashCode()}-${request.body.size}-${digest.value}",
        )
    }

    private companion object {
        const val STATUS_UNAVAILABLE = 503
        val NOT_CONFIGURED = Rejected(RefusalReason.NOT_READY, "no configuration is known yet")
        val STALE = Rejected(RefusalReason.NOT_READY, "the configuration could not be confirmed lately")
        val NO_ROUTE = Rejected(RefusalReason.UNKNOWN_SERVICE, "no route leads there")
        val UNKNOWN_KEY = Rejected(RefusalReason.UNAUTHENTICATED, "the key belongs to no workspace")
        val NO_SERVICE = Rejected(RefusalReason.NO_SERVING_TARGET, "the route's service is not configured")
        val REPEATED_FAILURE =
            Rejected(RefusalReason.NO_SERVING_TARGET, "targets failed each time they ran this request")
    }
}
