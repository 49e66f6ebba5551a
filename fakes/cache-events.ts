import type {CacheEventsReply} from '../src/common/upstreams/engine-api.js';
import {SeededRandom} from '../src/common/core/random.js';

/** Delay from an event to its publication, in milliseconds. */
const publishDelayMs = 300;
/** Fraction of the events that are lost at random. */
const lossRate = 0.005;
/** Maximum number of events that the log keeps. When it is exceeded, the oldest event is discarded, which a reader sees as a gap in the event numbers. */
const maxEvents = 5000;

type CacheEvent = CacheEventsReply['events'][number];

/** Log of the cache events of an engine. Events are published with a delay. Some events are lost, so the numbers of the published events have gaps. */
export class CacheEvents {
	/** While true, every new event is lost. */
	isDroppingEvents = false;
	private readonly _random = new SeededRandom(1);
	private readonly _events: Array<{atMs: number; event: CacheEvent}> = [];
	private readonly _unpublishedNumbers: Array<{atMs: number; n: number}> = [];
	private _lastNumber = 0;
	private _lastPublishedNumber = 0;

	/** Adds an event under the next event number. A lost event takes a number as well, so that readers notice the gap. */
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

	/** Returns the published events whose number is above `after`. `last` is the highest published number, which may be the number of a lost event. */
	read(after: number, nowMs: number): CacheEventsReply {
		while (this._unpublishedNumbers[0] && nowMs - this._unpublishedNumbers[0].atMs >= publishDelayMs) {
			this._lastPublishedNumber = this._unpublishedNumbers.shift()!.n;
		}

		const events = this._events.map(({event}) => event).filter(({n}) => n > after && n <= this._lastPublishedNumber);
		return {events, last: this._lastPublishedNumber};
	}
}
