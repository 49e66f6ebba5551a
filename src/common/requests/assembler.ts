import type {DecodeEvent, Usage} from '../upstreams/engine-api.js';

/** Position in the numbered event stream of one request. */
export type AssemblerState = {
	readonly requestId: string;
	/** Number of the last event passed on. */
	lastN: number;
	isComplete: boolean;
};

export type Assembled =
	| {readonly kind: 'text'; readonly text: string}
	| {readonly kind: 'end'; readonly usage: Usage}
	/** An event that was passed on before; resumed streams may repeat some. */
	| {readonly kind: 'duplicate'}
	/** At least one event before this one is missing. */
	| {readonly kind: 'gap'}
	/** An event of another request. */
	| {readonly kind: 'foreign'}
	/** An event behind the end marker. */
	| {readonly kind: 'late'};

export function createAssembler(requestId: string): AssemblerState {
	return {requestId, lastN: 0, isComplete: false};
}

/** Accepts only the next event of the own request; text after a gap or of another request is never passed on. */
export function assemble(state: AssemblerState, event: DecodeEvent): Assembled {
	if (event.requestId !== state.requestId) {
		return {kind: 'foreign'};
	}

	if (state.isComplete) {
		return {kind: 'late'};
	}

	if (event.n <= state.lastN) {
		return {kind: 'duplicate'};
	}

	if (event.n > state.lastN + 1) {
		return {kind: 'gap'};
	}

	state.lastN = event.n;
	if ('end' in event) {
		state.isComplete = true;
		return {kind: 'end', usage: event.usage};
	}

	return {kind: 'text', text: event.text};
}
