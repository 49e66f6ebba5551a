/** Response of an upstream, recorded to answer resends of the request. */
export type RecordedOutcome = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	/** Absent if the body exceeded a limit on recorded bodies. */
	readonly body?: Uint8Array;
};

export type ClaimRequest = {
	readonly tenant: string;
	readonly service: string;
	readonly idempotencyKey: string;
	/** SHA-256 of method, path and body, in hexadecimal. */
	readonly requestDigest: string;
};

export type ClaimResult =
	/** The claim holder may send the request to an upstream once. */
	| {readonly kind: 'granted'; readonly claimId: string}
	/** The request has run already, with this outcome. */
	| {readonly kind: 'recorded'; readonly outcome: RecordedOutcome}
	/** The request may have run, but its outcome is not known. */
	| {readonly kind: 'unknown'}
	/** The idempotency key was used for a different request. */
	| {readonly kind: 'conflict'}
	/** The tenant has too many unexpired claims; no claim was made. */
	| {readonly kind: 'too-many'; readonly retryAfterMs: number}
	/** No quorum answered. The claim may or may not have been made, but the request was not sent. */
	| {readonly kind: 'unavailable'};

/** How a claimed request ended. */
export type ClaimSettlement =
	| {readonly kind: 'answered'; readonly outcome: RecordedOutcome}
	/** The request did not reach the upstream, so the claim is withdrawn and a resend may run. */
	| {readonly kind: 'not-run'}
	| {readonly kind: 'unknown'};

/** Ensures that a request that is not idempotent runs at most once, even if it is resent to another entry process. */
export abstract class ClaimService {
	/** Claims the request on a quorum. While another entry process runs the same request, waits at most `maxWaitMs` for its outcome. */
	abstract claim(claim: ClaimRequest, maxWaitMs: number): Promise<ClaimResult>;
	/** Records the outcome of a claimed request. */
	abstract settle(claimId: string, outcome: ClaimSettlement): Promise<void>;
}
