/** Response of an upstream, recorded as the answer to resends of the same request. */
export type RecordedOutcome = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	/** Body of the response; absent if it was too large to be recorded. */
	readonly body?: Uint8Array;
};

/** Identifies the request to claim. */
export type ClaimRequest = {
	readonly tenant: string;
	readonly service: string;
	readonly idempotencyKey: string;
	/** SHA-256 digest of the request's method, path and body, in hexadecimal. */
	readonly requestDigest: string;
};

/** Result of an attempt to claim a request. */
export type ClaimResult =
	/** The claim was made: the entry process may send the request to an upstream once. */
	| {readonly kind: 'granted'; readonly claimId: string}
	/** The request has run already, with this outcome. */
	| {readonly kind: 'recorded'; readonly outcome: RecordedOutcome}
	/** The request may have run, but its outcome is not known. */
	| {readonly kind: 'unknown'}
	/** The idempotency key was used for a different request. */
	| {readonly kind: 'conflict'}
	/** No claim was made, since the customer has too many unexpired claims. */
	| {readonly kind: 'too-many'; readonly retryAfterMs: number}
	/** No quorum answered. The claim may or may not have been made; the request must not be sent to an upstream. */
	| {readonly kind: 'unavailable'};

/** How a claimed request ended. */
export type ClaimSettlement =
	/** The upstream answered with this outcome. */
	| {readonly kind: 'answered'; readonly outcome: RecordedOutcome}
	/** The request did not run, so the claim is withdrawn and a resend of the request may run. */
	| {readonly kind: 'not-run'}
	/** The request may have run, but its outcome is not known. */
	| {readonly kind: 'unknown'};

/** Ensures that a request that is not idempotent runs at most once, even if it is resent to another entry process. */
export abstract class ClaimService {
	/** Claims the request on a quorum. While another entry process runs the same request, waits at most `maxWaitMs` milliseconds for the outcome. */
	abstract claim(claim: ClaimRequest, maxWaitMs: number): Promise<ClaimResult>;
	/** Records the outcome of a claimed request. */
	abstract settle(claimId: string, outcome: ClaimSettlement): Promise<void>;
}
