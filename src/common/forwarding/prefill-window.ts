/** Prompts that a process has under way at first. */
const initialWidth = 1;
/** Most prompts that a process has under way for each prefill engine; an engine reads one in about 0.1 s, so the last of them is read within a latency objective of 0.9 s. */
const mostPerEngine = 6;
/** Smallest window: a process without a place tries again after some readings. */
const smallestWidth = 0.2;
/** Growth of the window by a prompt that was read in time. */
const growth = 0.3;
/** Part of the window that a prompt leaves which was not; prompts that were sent together report one after the other. */
const decrease = 0.6;
/** Share of the latency objective in which a prompt should be read; the rest is for room and the first token. */
const readingShare = 0.45;

type Window = {
	width: number;
	taken: number;
	/** Duration of the last reading, in milliseconds, and when it ended. */
	lastMs: number;
	endedMs: number;
};

/**
Prompts that this process may have under way to the prefill engines of each service. The window follows the time that readings take, as
all processes share the engines and none knows what the others send: it grows while prompts are read in time and shrinks when they queue.
*/
export class PrefillWindow {
	private readonly _windows = new Map<string, Window>();

	/** False if no further prompt should be under way now. A pool without prefill engines has no bound. Ends with `release`. */
	take(service: string, engines: number, nowMs: number): boolean {
		const window = this._window(service);
		window.width = Math.min(window.width, Math.max(1, mostPerEngine * engines));
		// A window below one is a pause between readings.
		const pauseMs = window.width < 1 ? ((1 / window.width) - 1) * window.lastMs : 0;
		if (engines > 0 && (window.taken >= Math.max(1, Math.floor(window.width)) || nowMs - window.endedMs < pauseMs)) {
			return false;
		}

		window.taken++;
		return true;
	}

	release(service: string): void {
		const window = this._windows.get(service);
		if (window) {
			window.taken--;
		}
	}

	/** A prompt was read, or given up after that time. */
	record(service: string, durationMs: number, targetMs: number, nowMs: number): void {
		const window = this._windows.get(service);
		if (window) {
			window.width = durationMs <= targetMs * readingShare ? window.width + growth : Math.max(smallestWidth, window.width * decrease);
			window.lastMs = durationMs;
			window.endedMs = nowMs;
		}
	}

	private _window(service: string): Window {
		let window = this._windows.get(service);
		if (!window) {
			window = {
				width: initialWidth, taken: 0, lastMs: 0, endedMs: Number.NEGATIVE_INFINITY,
			};
			this._windows.set(service, window);
		}

		return window;
	}
}
