import {gunzipSync, gzipSync} from 'node:zlib';
import type {SharedConfiguration} from '../../common/configuration/types.js';

/** Bound on a decompressed document, in bytes; 20,000 tenants take about 2 MB. */
const decompressedLimitBytes = 16 * 1024 * 1024;

/** Compressed, since the configuration of 20,000 tenants must fit one frame between processes. */
export function compressText(text: string): Uint8Array {
	return gzipSync(text);
}

/** The text of `compressText`; throws if the bytes are damaged or too large. */
export function decompressText(bytes: Uint8Array): string {
	return gunzipSync(bytes, {maxOutputLength: decompressedLimitBytes}).toString('utf8');
}

/** A checked configuration as JSON, which every process reads some hundred times faster than its YAML source. */
export function encodeConfiguration(configuration: SharedConfiguration): Uint8Array {
	return compressText(JSON.stringify(configuration));
}

/** The configuration of `encodeConfiguration`; throws if the bytes are damaged. */
export function decodeConfiguration(bytes: Uint8Array): SharedConfiguration {
	return JSON.parse(decompressText(bytes)) as SharedConfiguration;
}
