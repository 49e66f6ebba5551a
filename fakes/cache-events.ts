import type {CacheEventsReply} from '../src/common/upstreams/engine-api.js';
import {SeededRandom} from '../src/common/core/random.js';

/** Delay from an event to its publication, in milliseconds. */
const publishDelayMs = 300;
/** Fraction of the events that are lost. */
const lossRate = 0.005;
/** Maximum number of events kept for readers. Older events are discarded, which readers see as a gap too. */
const maxEvents = 5000;

type CacheEvent = CacheEventsReply['events'][number];

/** Log of the cache events of an engine. Events are published with a delay, and some are lost, which leaves gaps in their numbers. */
export class CacheEvents {
	/** While true, every new event is lost. */
	isDroppingEvents = false;
	private readonly _random = new SeededRandom(1);
	private readonly _events: Array<{atMs: number; event: CacheEvent}> = [];
	private readonly _unpublishedNumbers: Array<{atMs: number; n: number}> = [];
	private _lastNumber = 0;
	private _lastPublishedNumber = 0;

	/** Records an event. A lost event uses up a number as well, so that readers notice the gap. */
	add(kind: CacheEvent['kind'], hash: string, nowMs: number): void {
		this._lastNumber++;
		this._unpublishedNumbers.push({atMs: nowMs, n: this._lastNumber});
		if (this.isDroppingEvents || this._random.next() < lossRate) {
			return;
		}

		this._events.push({atMs: nowMs, event: {n: this._lastNumber, kind, hash}});
		if (this._events.length > maxEvents) {
			this._events.shift();
		}
	}

	/** Returns the published events numbered above `after`, and the last published number, which may be that of a lost event. */
	read(after: number, nowMs: number): CacheEventsReply {
		while (this._unpublishedNumbers[0] && nowMs - this._unpublishedNumbers[0].atMs >= publishDelayMs) {
			this._lastPublishedNumber = this._unpublishedNumbers.shift()!.n;
		}

		const events = this._events.map(({event}) => event).filter(({n}) => n > after && n <= this._lastPublishedNumber);
		return {events, last: this._lastPublishedNumber};
	}
}
