import type {Server} from '../../common/forwarding/server-directory.js';
import type {ForwardDependencies} from './forward-request.js';
import type {ServerCall} from './fleet-protocol.js';

/** Timeout of a reservation call, in milliseconds; engines answer it without doing work. */
const reservationTimeoutMs = 150;
/** Timeout of a call that releases memory on an engine, in milliseconds; the engine releases it by itself soon after. */
const releaseTimeoutMs = 1000;

/** Memory that a decode engine has reserved for a request. */
export type MemoryReservation = {readonly server: Server; readonly id: string; readonly tokens: number; isUsed: boolean};
/** KV cache of a prompt that a prefill engine keeps until a decode engine fetches it. */
export type PrefilledCache = {readonly server: Server; readonly handle: string; isUsed: boolean};

/** `refused` means that the engine has no room, `failed` that its answer cannot be used. */
export type ReservationResult = {readonly kind: 'held'; readonly reservation: MemoryReservation} | {readonly kind: 'refused' | 'failed'};

/** Memory reservation and KV cache that engines keep for one request. Releases on the engines only what was not used. */
export class EngineResources {
	reservation: MemoryReservation | undefined;
	prefilledCache: PrefilledCache | undefined;

	constructor(private readonly _dependencies: ForwardDependencies, private readonly _requestId: string) {}

	/**
	Reserves memory on a decode engine if the engine has room for `minFreeTokens` more. The reservation counts in the directory
	until it is released. Rejects with `CallError` if the engine does not answer.
	*/
	async reserve(server: Server, {tokens, ttlMs, minFreeTokens}: {readonly tokens: number; readonly ttlMs: number; readonly minFreeTokens: number}): Promise<ReservationResult> {
		const {fleet, protocol, clock} = this._dependencies;
		fleet.directory.beginWork(server, tokens);
		let isReserved = false;
		try {
			if (minFreeTokens > 0 && !await this._hasRoom(server, tokens + minFreeTokens)) {
				fleet.directory.recordRefusal(server, clock.nowMs());
				return {kind: 'refused'};
			}

			const {status, text} = await fleet.adapterFor(server).call(protocol.reserveMemoryCall(tokens, ttlMs), reservationTimeoutMs);
			const reservationId = status === 200 ? protocol.readReservationId(text) : undefined;
			if (reservationId === undefined) {
				fleet.directory.recordRefusal(server, clock.nowMs());
				if (status === 503) {
					return {kind: 'refused'};
				}

				fleet.recordFailure(server, {isUnreachable: false, detail: `reservation answered with status ${status}`});
				return {kind: 'failed'};
			}

			isReserved = true;
			return {
				kind: 'held', reservation: {
					server, id: reservationId, tokens, isUsed: false,
				},
			};
		} finally {
			if (!isReserved) {
				fleet.directory.endWork(server, tokens);
			}
		}
	}

	/** Releases a reservation. If a request used it, the engine releases it when that request ends. */
	releaseReservation({server, id: reservationId, tokens, isUsed}: MemoryReservation): void {
		this._dependencies.fleet.directory.endWork(server, tokens);
		if (!isUsed) {
			void this._releaseOnEngine(server, this._dependencies.protocol.releaseReservationCall(reservationId));
		}
	}

	releasePrefilledCache({server, handle, isUsed}: PrefilledCache): void {
		if (!isUsed) {
			void this._releaseOnEngine(server, this._dependencies.protocol.releasePrefillCall(handle));
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

	/** Whether the engine has room for that many tokens. Makes a trial reservation and releases it at once. */
	private async _hasRoom(server: Server, tokens: number): Promise<boolean> {
		const {fleet, protocol} = this._dependencies;
		const {status, text} = await fleet.adapterFor(server).call(protocol.reserveMemoryCall(tokens, reservationTimeoutMs), reservationTimeoutMs);
		const reservationId = status === 200 ? protocol.readReservationId(text) : undefined;
		if (reservationId !== undefined) {
			await fleet.adapterFor(server).call(protocol.releaseReservationCall(reservationId), reservationTimeoutMs);
		}

		return reservationId !== undefined;
	}

	private async _releaseOnEngine(server: Server, call: ServerCall): Promise<void> {
		try {
			await this._dependencies.fleet.adapterFor(server).call(call, releaseTimeoutMs);
		} catch (err) {
			// The engine releases the memory by itself when its time to live is over.
			this._dependencies.logger.log('info', 'engine memory not released', {
				requestId: this._requestId, server: server.key, detail: err instanceof Error ? err.message : String(err),
			});
		}
	}
}
