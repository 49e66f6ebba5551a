/** Owner of resources, such as listeners, timers or sockets, that `dispose` releases. */
export type Disposable = {
	dispose(): Promise<void> | void;
};

/** Collects disposable items and disposes them together, in reverse order of their registration. */
export class DisposableStore implements Disposable {
	private readonly _items: Disposable[] = [];
	private _isDisposed = false;

	/** Registers an item and returns it. */
	add<T extends Disposable>(item: T): T {
		this._items.push(item);
		return item;
	}

	/** Disposes every item, even if disposing some of them fails, and then rejects with the first error. Calls after the first one have no effect. */
	async dispose(): Promise<void> {
		if (this._isDisposed) {
			return;
		}

		this._isDisposed = true;
		const errors: unknown[] = [];
		for (const item of this._items.reverse()) {
			try {
				await item.dispose();
			} catch (err) {
				errors.push(err);
			}
		}

		if (errors.length > 0) {
			throw errors[0];
		}
	}
}
