package redwingcross.request

import kotlinx.serialization.Serializable

/** Identifies a caller's request. Unique across gateways and process restarts. */
@Serializable
@JvmInline
value class RequestId(val value: String) {
    override fun toString(): String = value
}

/** Identifies one attempt to run a request at a back end. Back ends return it in their responses. */
@Serializable
@JvmInline
value class AttemptId(val value: String) {
    override fun toString(): String = value
}

/** Canonical name of a customer. */
@Serializable
@JvmInline
value class Customer(val value: String) {
    override fun toString(): String = value
}

/** Idempotency key chosen by the caller. Requests of one customer with the same key run at most once. */
@Serializable
@JvmInline
value class IdempotencyKey(val value: String) {
    override fun toString(): String = value
}

/** Canonical name of a VM. */
@Serializable
@JvmInline
value class Vm(val value: String) {
    override fun toString(): String = value
}

/** Canonical name of an availability zone. */
@Serializable
@JvmInline
value class AvailabilityZone(val value: String) {
    override fun toString(): String = value
}

/** Canonical name of a back-end process that runs requests: a model engine or an instance of a plain service. */
@Serializable
@JvmInline
value class BackendServer(val value: String) {
    override fun toString(): String = value
}

/** Identifies a serving group: the VMs that together hold one replica of a model. */
@Serializable
@JvmInline
value class GroupId(val value: String) {
    override fun toString(): String = value
}

/** Canonical name of the service that a request is for: the name of a model or of a plain service. */
@Serializable
@JvmInline
value class ServiceName(val value: String) {
    override fun toString(): String = value
}

/** Name of a gateway or controller process. It stays the same when the VM of the process is replaced. */
@Serializable
@JvmInline
value class ProcessName(val value: String) {
    override fun toString(): String = value
}

/** Name of a model as used in requests of callers and reports of engines. */
@Serializable
@JvmInline
value class ModelName(val value: String) {
    override fun toString(): String = value
}
