/** Entry point of a baseline router process: `baseline-main.ts serve --settings <file>`. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {parseDocumentOrThrow} from '../common/configuration/document.js';
import {sharedConfigurationSchema} from '../common/configuration/shared.js';
import {BaselineRouter, baselineSettingsSchema} from './baseline.js';

const {values} = parseArgs({args: process.argv.slice(3), options: {settings: {type: 'string'}}});
const file = values.settings ?? '';
const settings = parseDocumentOrThrow(readFileSync(file, 'utf8'), baselineSettingsSchema, file);
const configuration = parseDocumentOrThrow(readFileSync(settings.configuration, 'utf8'), sharedConfigurationSchema, settings.configuration);
const router = new BaselineRouter(settings, configuration);
await router.start();
process.once('SIGTERM', async () => {
	await router.dispose();
	process.exit(0);
});
