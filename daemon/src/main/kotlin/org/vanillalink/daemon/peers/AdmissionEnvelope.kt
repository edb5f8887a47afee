/*
 * The JSON of messages on units of admission: each says of which type it is, since all go to one path.
 */
package org.vanillalink.daemon.peers

import arrow.core.Either
import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.admission.Holder
import org.vanillalink.admission.MessageToHolder
import org.vanillalink.admission.MessageToOwner
import org.vanillalink.control.admission.AdmissionInput
import org.vanillalink.model.BootId
import org.vanillalink.transport.Json
import org.vanillalink.transport.MalformedJson

/** The types of messages on units of admission. */
enum class AdmissionMessageType {
    BORROW,
    RETURN,
    HOLDINGS,
    GRANT,
    REFUSE,
    RECALL,
    RETURN_ACKNOWLEDGED,
    HOLDINGS_ACKNOWLEDGED,
}

/** Body of `POST /peer/admission`. [boot] names the run of the receiver in a message to a holder. */
data class AdmissionEnvelope(
    val type: AdmissionMessageType,
    val message: JsonNode,
    val boot: BootId? = null,
) {
    /** What the receiver's admission has to be told. */
    fun open(): Either<MalformedJson, AdmissionInput> = when (type) {
        AdmissionMessageType.BORROW -> toOwner(MessageToOwner.Borrow::class.java)
        AdmissionMessageType.RETURN -> toOwner(MessageToOwner.Return::class.java)
        AdmissionMessageType.HOLDINGS -> toOwner(MessageToOwner.Holdings::class.java)
        AdmissionMessageType.GRANT -> toHolder(MessageToHolder.Grant::class.java)
        AdmissionMessageType.REFUSE -> toHolder(MessageToHolder.Refuse::class.java)
        AdmissionMessageType.RECALL -> toHolder(MessageToHolder.Recall::class.java)
        AdmissionMessageType.RETURN_ACKNOWLEDGED -> toHolder(MessageToHolder.ReturnAcknowledged::class.java)
        AdmissionMessageType.HOLDINGS_ACKNOWLEDGED -> toHolder(MessageToHolder.HoldingsAcknowledged::class.java)
    }

    private fun toOwner(type: Class<out MessageToOwner>): Either<MalformedJson, AdmissionInput> =
        Json.read(Json.write(message), type).map { AdmissionInput.MessageForOwner(it) }

    private fun toHolder(type: Class<out MessageToHolder>): Either<MalformedJson, AdmissionInput> =
        Json.read(Json.write(message), type).map { AdmissionInput.MessageForHolder(boot ?: NO_RUN, it) }

    companion object {
        private val NO_RUN = BootId("")

        /** Wraps [message] for the owner of the units. */
        fun of(message: MessageToOwner) = AdmissionEnvelope(typeOf(message), Json.mapper.valueToTree(message))

        /** Wraps [message] for [holder]. */
        fun of(
            holder: Holder,
            message: MessageToHolder,
        ) = AdmissionEnvelope(typeOf(message), Json.mapper.valueToTree(message), holder.boot)

        private fun typeOf(message: MessageToOwner): AdmissionMessageType = when (message) {
            is MessageToOwner.Borrow -> AdmissionMessageType.BORROW
            is MessageToOwner.Return -> AdmissionMessageType.RETURN
            is MessageToOwner.Holdings -> AdmissionMessageType.HOLDINGS
        }

        private fun typeOf(message: MessageToHolder): AdmissionMessageType = when (message) {
            is MessageToHolder.Grant -> AdmissionMessageType.GRANT
            is MessageToHolder.Refuse -> AdmissionMessageType.REFUSE
            is MessageToHolder.Recall -> AdmissionMessageType.RECALL
            is MessageToHolder.ReturnAcknowledged -> AdmissionMessageType.RETURN_ACKNOWLEDGED
            is MessageToHolder.HoldingsAcknowledged -> AdmissionMessageType.HOLDINGS_ACKNOWLEDGED
        }
    }
}

/** Answer to `POST /peer/admission`: the message arrived. */
data class AdmissionReceipt(
    val taken: Boolean,
)
