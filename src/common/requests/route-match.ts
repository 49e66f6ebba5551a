import type {PlainService, Route} from '../configuration/types.js';

export type TargetResult =
	| {readonly kind: 'target'; readonly service: string; /** Path and query as the upstream gets them. */ readonly rest: string; /** Decoded path for matching. */ readonly path: string}
	/** A path that upstreams may read differently from this process. */
	| {readonly kind: 'ambiguous'};

export type RouteResult =
	| {readonly kind: 'route'; readonly route: Route}
	| {readonly kind: 'no-route'}
	| {readonly kind: 'method-not-allowed'; readonly allowed: readonly string[]};

/** Visible ASCII only; raw bytes beyond are read differently by different servers. */
const targetPattern = /^\/s\/([a-z\d-]{1,63})(\/[!"$->@-~]*)?(\?[!"$-~]*)?$/;

/**
Splits `/s/<service>/<path>?<query>`. Dot segments, empty segments, encoded slashes, backslashes and control characters are refused:
an upstream that resolves them could serve another route than the one that was checked.
*/
export function parseTarget(url: string): TargetResult {
	const match = targetPattern.exec(url);
	if (!match) {
		return {kind: 'ambiguous'};
	}

	const [, service, raw = '/', query = ''] = match;
	const path = decodePath(raw);
	return path === undefined
		? {kind: 'ambiguous'}
		: {
			kind: 'target', service: service!, rest: raw + query, path,
		};
}

function decodePath(raw: string): string | undefined {
	const segments: string[] = [];
	for (const segment of raw.split('/').slice(1)) {
		const decoded = decodeSegment(segment);
		if (decoded === undefined) {
			return undefined;
		}

		segments.push(decoded);
	}

	// Only the last segment may be empty: the path ends with a slash.
	const hasEmptySegment = segments.slice(0, -1).includes('');
	return hasEmptySegment ? undefined : '/' + segments.join('/');
}

/** Decodes a segment and removes its parameters behind `;`, which some servers ignore. */
function decodeSegment(segment: string): string | undefined {
	let decoded: string;
	try {
		decoded = decodeURIComponent(segment);
	} catch {
		return undefined;
	}

	// eslint-disable-next-line no-control-regex -- control characters are what is looked for
	if (/[/\\\u0000-\u001F\u007F]/.test(decoded)) {
		return undefined;
	}

	const name = decoded.split(';', 1)[0]!;
	return name === '.' || name === '..' ? undefined : name;
}

/** Whether `prefix` covers whole segments of `path`. */
function isPrefix(prefix: string, path: string): boolean {
	return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : prefix + '/');
}

/** The route with the longest matching path; among routes of that path, the one that allows the method. */
export function matchRoute(service: PlainService, method: string, path: string): RouteResult {
	const matching = service.routes.filter(route => isPrefix(route.path, path));
	const longest = Math.max(...matching.map(route => route.path.length));
	const candidates = matching.filter(route => route.path.length === longest);
	if (candidates.length === 0) {
		return {kind: 'no-route'};
	}

	const route = candidates.find(candidate => (candidate.methods as readonly string[]).includes(method));
	return route ? {kind: 'route', route} : {kind: 'method-not-allowed', allowed: candidates.flatMap(candidate => candidate.methods)};
}
