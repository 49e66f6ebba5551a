import {requestMarker} from '../../fakes/answer.js';
import {bytesPerToken} from '../common/upstreams/prompt-prefix.js';
import type {TraceRequest} from './trace.js';

/** Tokens that a request takes from the tenant's limit before it runs. */
export function requestCost(req: TraceRequest): number {
	if (req.kind === 'plain') {
		return req.cost;
	}

	const prompt = req.shared.reduce((sum, {tokens}) => sum + tokens, 0) + req.ownTokens + Math.ceil(requestMarker(req.id).length / bytesPerToken);
	return prompt + req.maxTokens;
}
