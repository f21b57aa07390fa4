package awsstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"

	"github.com/papayarail/papayarail/store"
)

// MaxObjectBytes bounds the size of an object that Get returns. The configuration
// document of a fleet with 2,300 databases is below 1 MiB.
const MaxObjectBytes = 16 << 20

// Objects is an S3 bucket.
type Objects struct {
	client  *s3.Client
	bucket  string
	timeout time.Duration
}

var _ store.Objects = (*Objects)(nil)

// Put implements store.Objects.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	operation := "put object " + key
	ctx, cancel, err := startCall(ctx, operation, o.timeout)
	if err != nil {
		return err
	}
	defer cancel()
	_, err = o.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(o.bucket),
		Key:    aws.String(key),
		Body:   bytes.NewReader(data),
	})
	if err != nil {
		return classify(operation, false, err)
	}
	return nil
}

// Get implements store.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	operation := "get object " + key
	ctx, cancel, err := startCall(ctx, operation, o.timeout)
	if err != nil {
		return nil, err
	}
	defer cancel()
	output, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(o.bucket), Key: aws.String(key)})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, Error.Wrap(notFound(operation))
	}
	if err != nil {
		return nil, classify(operation, true, err)
	}
	defer output.Body.Close()
	data, err := io.ReadAll(io.LimitReader(output.Body, MaxObjectBytes+1))
	if err != nil {
		return nil, classify(operation, true, err)
	}
	if len(data) > MaxObjectBytes {
		return nil, Error.New("%s: larger than %d bytes", operation, MaxObjectBytes)
	}
	return data, nil
}

func notFound(operation string) error { return fmt.Errorf("%s: %w", operation, store.ErrNotFound) }
