/** Events that one connection may cause before the next one has its turn; enough for a head with a short body. */
export const eventsPerVisit = 128;
/** Events that all queued connections together may cause in one turn of the event loop; they take about a millisecond. */
const eventsPerTurn = 512;

/** Shares the turns of the event loop among connections whose bytes cause much work: each gets a visit in order, and the rest of the loop has its turn after a bounded number of events. */
export class TurnQueue<T> {
	private readonly _queued = new Set<T>();
	private _eventsLeft = eventsPerTurn;

	get isEmpty(): boolean {
		return this._queued.size === 0;
	}

	/** Adds a connection at the end unless it is queued. */
	add(connection: T): void {
		this._queued.add(connection);
	}

	remove(connection: T): void {
		this._queued.delete(connection);
	}

	/** Begins a turn of the event loop. */
	beginTurn(): void {
		this._eventsLeft = eventsPerTurn;
	}

	/** Removes and returns the connection that is next in this turn; undefined if the turn is over or none is queued. */
	next(): T | undefined {
		const [connection] = this._queued;
		if (connection === undefined || this._eventsLeft <= 0) {
			return undefined;
		}

		this._queued.delete(connection);
		return connection;
	}

	/** Records the events that a connection has caused in its visit. */
	spend(events: number): void {
		this._eventsLeft -= events;
	}
}
