import type {CacheEventsReply} from '../src/common/upstreams/engine-api.js';
import {SeededRandom} from '../src/common/core/random.js';

/** Delay until an event is published, in milliseconds. */
const lagMs = 300;
/** Share of events that are lost. */
const lossRate = 0.005;
/** Events kept for readers; older ones are a gap as well. */
const maxEvents = 5000;

type CacheEvent = CacheEventsReply['events'][number];

/** Cache events of an engine, published late and with gaps. */
export class CacheEvents {
	/** While true every new event is lost. */
	isDropping = false;
	private readonly _random = new SeededRandom(1);
	private readonly _events: Array<{atMs: number; event: CacheEvent}> = [];
	private readonly _numbers: Array<{atMs: number; n: number}> = [];
	private _last = 0;
	private _published = 0;

	add(kind: CacheEvent['kind'], hash: string, nowMs: number): void {
		this._last++;
		this._numbers.push({atMs: nowMs, n: this._last});
		if (this.isDropping || this._random.next() < lossRate) {
			return;
		}

		this._events.push({atMs: nowMs, event: {n: this._last, kind, hash}});
		if (this._events.length > maxEvents) {
			this._events.shift();
		}
	}

	/** Events with a number above `after` whose delay has passed. */
	read(after: number, nowMs: number): CacheEventsReply {
		while (this._numbers[0] && nowMs - this._numbers[0].atMs >= lagMs) {
			this._published = this._numbers.shift()!.n;
		}

		const events = this._events.map(({event}) => event).filter(({n}) => n > after && n <= this._published);
		return {events, last: this._published};
	}
}
