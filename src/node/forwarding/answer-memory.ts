import type {Exchange} from '../entry/exchange.js';
import type {Holding, MemoryKeeper} from '../memory/memory-keeper.js';

/** Memory of an answer that the caller has not read. If there is no room for it, the caller is disconnected. */
export class AnswerMemory {
	private readonly _holding: Holding;
	private readonly _exchange: Exchange;

	constructor({exchange, owner}: {readonly exchange: Exchange; readonly owner: string}, memory: MemoryKeeper) {
		this._holding = memory.open('answer', owner, () => {
			disconnect(exchange);
		});
		this._exchange = exchange;
		exchange.res.once('close', () => {
			this._holding.release();
		});
	}

	/** Sets the memory, in bytes. Returns false, and has disconnected the caller, if there is no room. */
	resize(bytes: number): boolean {
		const isGranted = this._holding.resize(bytes);
		if (!isGranted) {
			disconnect(this._exchange);
		}

		return isGranted;
	}

	/** Records that the answer is left to the caller to read, or that the caller has read some of it. */
	recordMove(): void {
		this._holding.recordMove(true);
	}
}

/** Stops a request whose caller takes too long to read, and closes its connection. */
export function disconnect(exchange: Exchange): void {
	exchange.stop('slow-reader');
	exchange.destroyConnection();
}
