import {
	isMap, isSeq, LineCounter, parseDocument, visit,
} from 'yaml';
import type {Document} from 'yaml';
import type {z} from 'zod';
import {errorContext, ConfigurationError} from '../core/errors.js';

/** An error found in a YAML document. */
export type DocumentIssue = {
	/** Line number, starting at 1. */
	readonly line: number;
	/** Path of the invalid value, such as `services.dossiers.profile`; only the key itself for a duplicate key, and empty for the document as a whole. */
	readonly path: string;
	readonly message: string;
};

/** The validated value of a document, or the errors found in it. */
export type DocumentResult<T> =
	| {readonly ok: true; readonly value: T}
	| {readonly ok: false; readonly issues: readonly DocumentIssue[]};

/** Returns the line number, starting at 1, of the key or list item at `path`, or of its nearest ancestor in the document if the document does not contain it. */
function findLine(document: Document, lines: LineCounter, path: readonly PropertyKey[]): number {
	let node: unknown = document.contents;
	let offset = 0;
	for (const key of path) {
		if (isMap(node)) {
			const pair = node.items.find(item => String(item.key) === String(key));
			const range = (pair?.key as {range?: [number, number, number]} | undefined)?.range;
			offset = range?.[0] ?? offset;
			node = pair?.value;
		} else if (isSeq(node)) {
			node = node.items[Number(key)];
			offset = (node as {range?: [number, number, number]} | undefined)?.range?.[0] ?? offset;
		}
	}

	return lines.linePos(offset).line;
}

/** Returns an issue for each key that repeats an earlier key of the same map. Without this check, the last of several values would silently override the others. */
function findDuplicateKeys(document: Document, lines: LineCounter): DocumentIssue[] {
	const issues: DocumentIssue[] = [];
	visit(document, {
		// eslint-disable-next-line @typescript-eslint/naming-convention -- `visit` requires the name of the node type
		Map(_key, map) {
			const seen = new Set<string>();
			for (const {key} of map.items) {
				const name = String(key);
				const offset = (key as {range?: [number, number, number]}).range?.[0] ?? 0;
				if (seen.has(name)) {
					issues.push({line: lines.linePos(offset).line, path: name, message: 'this key stands twice'});
				}

				seen.add(name);
			}
		},
	});
	return issues;
}

/** Parses a YAML document and validates it against `schema`. Returns the validated value or the errors found; duplicate keys are errors, as are keys that a strict schema does not know. */
export function checkDocument<S extends z.ZodType>(text: string, schema: S): DocumentResult<z.output<S>> {
	const lines = new LineCounter();
	// The parser's own check for duplicate keys is off, and `findDuplicateKeys` replaces it: the parser compares every pair of keys, which takes seconds for 20,000 customers.
	const document = parseDocument(text, {lineCounter: lines, uniqueKeys: false});
	if (document.errors.length > 0) {
		const issues = document.errors.map(err => ({line: err.linePos?.[0].line ?? 1, path: '', message: err.message.split('\n')[0] ?? err.code}));
		return {ok: false, issues};
	}

	const duplicates = findDuplicateKeys(document, lines);
	if (duplicates.length > 0) {
		return {ok: false, issues: duplicates};
	}

	const result = schema.safeParse(document.toJS({maxAliasCount: 0}));
	if (result.success) {
		return {ok: true, value: result.data};
	}

	const issues = result.error.issues.flatMap(issue => {
		const keys: PropertyKey[][] = issue.code === 'unrecognized_keys' ? issue.keys.map(key => [...issue.path, key]) : [issue.path];
		return keys.map(path => ({
			line: findLine(document, lines, path),
			path: path.map(String).join('.'),
			message: issue.code === 'unrecognized_keys' ? 'this key is not known' : issue.message,
		}));
	});
	return {ok: false, issues};
}

/** Parses and validates a YAML document as `checkDocument` does, but returns the validated value itself, and throws a `ConfigurationError` that lists the errors found. `source` is the file name that the error states. */
export function parseDocumentOrThrow<S extends z.ZodType>(text: string, schema: S, source: string): z.output<S> {
	const result = checkDocument(text, schema);
	if (result.ok) {
		return result.value;
	}

	const messages = result.issues.map(issue => `${source}:${issue.line}: ${issue.path || '(document)'}: ${issue.message}`);
	throw new ConfigurationError(messages.join('\n'), errorContext({step: 'configuration.check', peer: source}));
}
