import type {Server} from '../../common/forwarding/server-directory.js';
import type {CallAnswer} from './forward-adapter.js';
import type {ForwardDependencies} from './forward-request.js';
import type {ServerCall} from './fleet-protocol.js';

/** Timeout of a reservation call and time to live of a trial reservation, in milliseconds; engines answer such a call without running a model. */
const reservationTimeoutMs = 150;
/** Timeout of a call that releases memory on an engine, in milliseconds. If the call fails, the engine still releases the memory at the end of its time to live. */
const releaseTimeoutMs = 1000;

/** Memory for `tokens` tokens of KV cache that a decode engine has reserved for a request. `isUsed` is true once the request has been sent, unless the engine rejects it without running it. */
export type MemoryReservation = {readonly server: Server; readonly id: string; readonly tokens: number; isUsed: boolean};
/** KV cache of a prompt that a prefill engine keeps until a decode engine fetches it. `isUsed` is true once the request has been sent to the decode engine, unless that engine rejects it without running it. */
export type PrefilledCache = {readonly server: Server; readonly handle: string; isUsed: boolean};

/** Result of a reservation call: `held` if the engine reserved the memory, `refused` if it has no room, `failed` if its answer cannot be used. */
export type ReservationResult = {readonly kind: 'held'; readonly reservation: MemoryReservation} | {readonly kind: 'refused' | 'failed'};

/** Memory reservation and KV cache that engines keep for one request. Its methods tell an engine to release only memory that the request has not used; engines release used memory by themselves. */
export class EngineResources {
	reservation: MemoryReservation | undefined;
	prefilledCache: PrefilledCache | undefined;

	constructor(private readonly _dependencies: Pick<ForwardDependencies, 'fleet' | 'protocol' | 'clock' | 'logger'>, private readonly _requestId: string) {}

	/**
	Reserves memory for `tokens` tokens on a decode engine, provided that the engine has room for `minFreeTokens` tokens more. The
	directory counts the reservation as work of the engine until it is released. Rejects with `CallError` if the engine does not
	answer.
	*/
	async reserve(server: Server, {tokens, ttlMs, minFreeTokens}: {readonly tokens: number; readonly ttlMs: number; readonly minFreeTokens: number}): Promise<ReservationResult> {
		const {fleet, protocol, clock} = this._dependencies;
		fleet.directory.beginWork(server, tokens);
		fleet.recordColdRequest(server, ttlMs);
		// A cold engine gets no trial reservation, which would cost two more requests of the few that it takes.
		const needsTrial = minFreeTokens > 0 && fleet.coldForMs(server) === 0;
		let isReserved = false;
		try {
			if (needsTrial && !await this._hasRoom(server, tokens + minFreeTokens)) {
				fleet.directory.recordRefusal(server, clock.nowMs());
				return {kind: 'refused'};
			}

			const {status, reservationId} = await this._requestReservation(server, tokens, ttlMs);
			if (reservationId === undefined) {
				fleet.directory.recordRefusal(server, clock.nowMs());
				if (status === 503) {
					return {kind: 'refused'};
				}

				fleet.recordFailure(server, {isUnreachable: false, detail: `reservation answered with status ${status}`});
				return {kind: 'failed'};
			}

			isReserved = true;
			fleet.directory.recordGrant(server, clock.nowMs());
			return {
				kind: 'held', reservation: {
					server, id: reservationId, tokens, isUsed: false,
				},
			};
		} finally {
			if (!isReserved) {
				fleet.directory.endWork(server, tokens);
				// No run follows, so the turn ends here.
				fleet.recordColdRequest(server);
			}
		}
	}

	/** Ends the work that the directory counts for a reservation, and releases the reservation on the engine unless a request used it. The engine releases a used reservation when that request ends. */
	releaseReservation({server, id: reservationId, tokens, isUsed}: MemoryReservation): void {
		this._dependencies.fleet.directory.endWork(server, tokens);
		if (!isUsed) {
			void this._releaseOnEngine(server, this._dependencies.protocol.buildReleaseReservationCall(reservationId));
		}
	}

	releasePrefilledCache({server, handle, isUsed}: PrefilledCache): void {
		if (!isUsed) {
			void this._releaseOnEngine(server, this._dependencies.protocol.buildReleasePrefillCall(handle));
		}
	}

	releaseAll(): void {
		if (this.reservation) {
			this.releaseReservation(this.reservation);
			this.reservation = undefined;
		}

		if (this.prefilledCache) {
			this.releasePrefilledCache(this.prefilledCache);
			this.prefilledCache = undefined;
		}
	}

	/** Returns whether the engine has room for `tokens` tokens. Makes a trial reservation and releases it at once. */
	private async _hasRoom(server: Server, tokens: number): Promise<boolean> {
		const {fleet, protocol} = this._dependencies;
		const {reservationId} = await this._requestReservation(server, tokens, reservationTimeoutMs);
		if (reservationId !== undefined) {
			await this._release(server, protocol.buildReleaseReservationCall(reservationId), reservationTimeoutMs);
		}

		return reservationId !== undefined;
	}

	/** Asks the engine for a reservation. The answer has no id unless the engine granted one to this call. */
	private async _requestReservation(server: Server, tokens: number, ttlMs: number): Promise<{readonly status: number; readonly reservationId: string | undefined}> {
		const {fleet, protocol} = this._dependencies;
		const readGrant = ({status, text}: CallAnswer) => status === 200 ? protocol.readReservationId(text) : undefined;
		const answer = await fleet.adapterFor(server).call(protocol.buildReserveMemoryCall(tokens, ttlMs), reservationTimeoutMs, {
			isOwnAnswer(received) {
				const granted = readGrant(received);
				return received.status === 200 ? granted !== undefined && fleet.recordGrant(server, granted) : undefined;
			},
		});
		// Read from the answer that is returned: the call may have been repeated after an answer that belongs to another one.
		return {status: answer.status, reservationId: readGrant(answer)};
	}

	private async _release(server: Server, call: ServerCall, timeoutMs: number): Promise<void> {
		const {fleet, protocol} = this._dependencies;
		fleet.recordColdRequest(server);
		await fleet.adapterFor(server).call(call, timeoutMs, {
			// The answer to a release is empty, and one that belongs to another release does no harm.
			isOwnAnswer: ({text}) => protocol.readReservationId(text) === undefined,
		});
	}

	/** Tells the engine to release memory, unless nothing may be sent to it any more; it then does so at the end of the time to live. */
	private async _releaseOnEngine(server: Server, call: ServerCall): Promise<void> {
		if (this._dependencies.fleet.directory.isEvacuated(server)) {
			return;
		}

		try {
			await this._release(server, call, releaseTimeoutMs);
		} catch (err) {
			// A retry is not needed: the engine releases the memory by itself at the end of its time to live.
			this._dependencies.logger.log('info', 'engine memory not released', {
				requestId: this._requestId, server: server.key, detail: err instanceof Error ? err.message : String(err),
			});
		}
	}
}
